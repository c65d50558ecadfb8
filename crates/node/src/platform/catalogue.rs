//! The catalogue as stored at the platform: a head record, and the text in chunks.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use catalogue::Head;
use catalogue::head::{CHUNK_BYTES, HEAD_KEY};
use member::Generation;
use member::generation;
use store::{Condition, Write};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{is_watcher, nodes};
use crate::actor::members::{self, Query, RegistrationsListed, TextRead};
use crate::shared::Shared;

/// Timeout of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval between attempts while the platform is unavailable.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time for peers to deliver a text before it is read from the platform.
const PEER_FETCH_TIME: Duration = Duration::from_millis(400);

/// Head record with its revision, which is 0 if there is no record yet.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Head record.
    pub head: Head,
    /// Revision of the record.
    pub revision: store::Revision,
}

/// Reason why an edit was not accepted.
#[derive(Clone, Debug)]
pub enum Rejected {
    /// Another edit was accepted first. Holds the current head.
    Conflict(Box<Head>),
    /// The platform did not answer, so the edit may have been accepted. Repeating it with the same id tells.
    Indeterminate(String),
    /// The platform is unavailable; the edit was not accepted.
    Unavailable(String),
}

/// Reads the head record.
pub async fn read(store: &store::Client) -> Result<Stored, store::Error> {
    let Some(record) = store.get(HEAD_KEY).await? else {
        return Ok(Stored::default());
    };
    let head =
        serde_json::from_slice(&record.value).map_err(|error| store::Error::Protocol(error.to_string()))?;
    Ok(Stored {
        head,
        revision: record.revision,
    })
}

/// Reads the text to which a head refers.
pub async fn read_text(store: &store::Client, head: &Head) -> Result<Bytes, store::Error> {
    let mut text = BytesMut::with_capacity(head.size);
    for key in head.chunk_keys() {
        let Some(chunk) = store.get(&key).await? else {
            return Err(store::Error::Protocol(format!("chunk {key} is missing")));
        };
        text.extend_from_slice(&chunk.value);
    }
    Ok(text.freeze())
}

/// Writes a text and swaps the head record; returns the resulting head.
///
/// An `id` is accepted at most once: repeating an edit whose answer was lost returns a head that contains it.
pub async fn commit(
    store: &store::Client,
    text: &str,
    expected: u64,
    id: &str,
    author: &str,
) -> Result<Head, Rejected> {
    let stored = read(store).await.map_err(|error| unavailable(&error))?;
    if stored.head.generation_of(id).is_some() {
        return Ok(stored.head);
    }
    if stored.head.generation != expected {
        return Err(Rejected::Conflict(Box::new(stored.head)));
    }
    let next = stored.head.next(text, id, author);
    write_text(store, text, &next).await?;
    let value = serde_json::to_vec(&next).map_err(|error| Rejected::Unavailable(error.to_string()))?;
    let condition = if stored.revision == store::Revision::default() {
        Condition::Absent
    } else {
        Condition::Revision(stored.revision)
    };
    let write = Write::new(HEAD_KEY, Bytes::from(value), condition);
    match store.write(&write).await {
        Ok(_revision) => Ok(next),
        Err(store::Error::Conflict(_)) => after_conflict(store, id).await,
        Err(store::Error::Indeterminate(cause)) => Err(Rejected::Indeterminate(cause)),
        Err(error) => Err(unavailable(&error)),
    }
}

/// Resolves a conflict, which may be with this very edit if its write succeeded and others followed.
async fn after_conflict(store: &store::Client, id: &str) -> Result<Head, Rejected> {
    let stored = read(store)
        .await
        .map_err(|error| Rejected::Indeterminate(error.to_string()))?;
    if stored.head.generation_of(id).is_some() {
        return Ok(stored.head);
    }
    Err(Rejected::Conflict(Box::new(stored.head)))
}

/// Writes the chunks of a text. Their keys contain its digest, so writing them again changes nothing.
async fn write_text(store: &store::Client, text: &str, head: &Head) -> Result<(), Rejected> {
    let chunks = text.as_bytes().chunks(CHUNK_BYTES);
    for (key, chunk) in head.chunk_keys().into_iter().zip(chunks) {
        let write = Write::new(key, Bytes::copy_from_slice(chunk), Condition::Any);
        match store.write(&write).await {
            Ok(_revision) => {}
            Err(error) => return Err(unavailable(&error)),
        }
    }
    Ok(())
}

fn unavailable(error: &store::Error) -> Rejected {
    Rejected::Unavailable(error.to_string())
}

/// Converts a head record to the form in which nodes gossip it.
pub fn gossip_head(head: &Head) -> Option<generation::Head> {
    let digest = blake3::Hash::from_hex(&head.digest).ok()?;
    let digest = generation::Digest(*digest.as_bytes());
    Some(generation::Head {
        generation: Generation(head.generation),
        digest,
    })
}

/// Watches the head record while this node is a watcher of its zone, and answers queries of the members
/// actor.
pub async fn watch(shared: Shared, mut queries: mpsc::Receiver<Query>) {
    let answer_queries = async {
        while let Some(query) = queries.recv().await {
            tokio::spawn(answer_query(shared.clone(), query));
        }
    };
    tokio::join!(answer_queries, watch_head(&shared));
}

async fn answer_query(shared: Shared, query: Query) {
    match query {
        Query::Head => {
            // NB: registrations are read before the head, so that this node knows the nodes that it may be
            // cut off from before it trusts the platform that its catalogue is the newest.
            let Ok(registrations) = nodes::list(&shared).await else {
                return;
            };
            let _gone = shared.members.tell(RegistrationsListed(registrations)).await;
            let _ended = publish_head(&shared).await;
        }
        Query::Text(head) => fetch_text(&shared, head).await,
    }
}

/// Reads a text from the platform, unless a peer delivers it or a newer one in the meantime.
async fn fetch_text(shared: &Shared, head: generation::Head) {
    const ATTEMPTS: u32 = 10;
    for _attempt in 0..ATTEMPTS {
        sleep(PEER_FETCH_TIME).await;
        if shared.snapshot().generation >= head.generation.0 {
            return;
        }
        let Ok(stored) = read(&shared.store).await else {
            continue;
        };
        let current = gossip_head(&stored.head);
        if current.is_none_or(|current| current.digest != head.digest) {
            let _ended = publish_head(shared).await;
            return;
        }
        if let Ok(text) = read_text(&shared.store, &stored.head).await {
            let _gone = shared.members.tell(TextRead(text)).await;
            return;
        }
    }
}

/// Reads the head record and sends it to the members actor; returns its revision.
async fn publish_head(shared: &Shared) -> Result<store::Revision, store::Error> {
    let stored = read(&shared.store).await?;
    let empty = generation::Head {
        generation: Generation(0),
        digest: generation::Digest([0; 32]),
    };
    let head = gossip_head(&stored.head).unwrap_or(empty);
    let _gone = shared.members.tell(members::HeadRead(head)).await;
    Ok(stored.revision)
}

async fn watch_head(shared: &Shared) {
    let mut revision = store::Revision::default();
    loop {
        if !is_watcher(shared).await {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        match publish_head(shared).await {
            Ok(read) => revision = read.max(revision),
            Err(error) => {
                log::debug!("failed to read the head record: {error}");
                sleep(RETRY_INTERVAL).await;
                continue;
            }
        }
        // NB: the head is read again whatever the watch returns, so that a gap or a lost change can't go
        // unnoticed.
        if shared
            .store
            .watch(HEAD_KEY, revision, WATCH_TIMEOUT)
            .await
            .is_err()
        {
            sleep(RETRY_INTERVAL).await;
        }
    }
}
