//! The catalogue at the platform: head record and text in chunks.

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

/// Longest wait of one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Span between attempts while the platform is down.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time that peers have to give a text before the platform is asked.
const PEER_FETCH_TIME: Duration = Duration::from_millis(400);

/// A head record with its revision; revision 0 if there is none yet.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// The head.
    pub head: Head,
    /// Its revision.
    pub revision: u64,
}

/// Why an edit was not accepted.
#[derive(Clone, Debug)]
pub enum Rejected {
    /// Another edit came first; the head that stands.
    Conflict(Box<Head>),
    /// The platform did not answer: the edit may have been accepted; ask with its id.
    Indeterminate(String),
    /// The platform is down: the edit was not accepted.
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

/// Reads the text that a head names.
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

/// Writes a text and swaps the head; the generation accepted.
///
/// The same `id` is never accepted twice: repeating an edit whose answer was lost answers its generation.
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
    let condition = if stored.revision == 0 {
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

/// A conflict may be with this very edit, followed by others.
async fn after_conflict(store: &store::Client, id: &str) -> Result<Head, Rejected> {
    let stored = read(store)
        .await
        .map_err(|error| Rejected::Indeterminate(error.to_string()))?;
    if stored.head.generation_of(id).is_some() {
        return Ok(stored.head);
    }
    Err(Rejected::Conflict(Box::new(stored.head)))
}

/// Chunks are named by the text's digest, so that writing them twice changes nothing.
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

/// The head as nodes tell it.
pub fn gossip_head(head: &Head) -> Option<generation::Head> {
    let digest = blake3::Hash::from_hex(&head.digest).ok()?;
    let digest = generation::Digest(*digest.as_bytes());
    Some(generation::Head {
        generation: Generation(head.generation),
        digest,
    })
}

/// Watches the head while this node watches for its zone, and answers what the members want.
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
            // NB: nodes come before the head, so that this node knows of those it may be cut off from before it
            // takes the platform's word that its catalogue is the newest.
            let Ok(registrations) = nodes::list(&shared).await else {
                return;
            };
            let _gone = shared.members.tell(RegistrationsListed(registrations)).await;
            let _ended = publish_head(&shared).await;
        }
        Query::Text(head) => fetch_text(&shared, head).await,
    }
}

/// Fetches a text from the platform, unless a peer has given it or a higher one meanwhile.
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

/// Reads the head and tells the members; the revision read.
async fn publish_head(shared: &Shared) -> Result<u64, store::Error> {
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
    let mut revision = 0;
    loop {
        if !is_watcher(shared).await {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        match publish_head(shared).await {
            Ok(read) => revision = read.max(revision),
            Err(error) => {
                log::debug!("head not read: {error}");
                sleep(RETRY_INTERVAL).await;
                continue;
            }
        }
        // NB: whatever the watch answers, the head is read again: a gap or lost change can't go unseen.
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
