//! Transfer of catalogue chunks: they are fetched from peers by digest and cached for other peers.

use base::Millis;
use bytes::Bytes;
use indexmap::IndexMap;

use super::{Action, Actions, Gossip};
use crate::frame::Message;
use crate::generation::Digest;

/// Time after which a chunk is requested from another peer.
const RETRY_INTERVAL: Millis = Millis(500);

/// Cached and requested chunks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Chunks {
    cached: IndexMap<Digest, Bytes>,
    bytes: usize,
    /// Requested chunks, with the time of the next attempt.
    requested: IndexMap<Digest, Millis>,
}

impl Chunks {
    /// Caches a chunk and evicts the oldest ones beyond `max_bytes`.
    pub(crate) fn insert(&mut self, max_bytes: usize, chunk: Bytes) {
        let length = chunk.len();
        if length > max_bytes || self.cached.insert(Digest::of(&chunk), chunk).is_some() {
            return;
        }
        self.bytes += length;
        while self.bytes > max_bytes {
            let Some((_, oldest)) = self.cached.shift_remove_index(0) else {
                return;
            };
            self.bytes -= oldest.len();
        }
    }

    /// Makes a requested chunk due for another attempt, after a peer answered that it lacks the chunk.
    pub(crate) fn retry_now(&mut self, now: Millis, digest: Digest) {
        if let Some(next) = self.requested.get_mut(&digest) {
            *next = now;
        }
    }
}

impl Gossip {
    pub(super) fn fetch(&mut self, now: Millis, digest: Digest, actions: &mut Actions) {
        if let Some(bytes) = self.chunks.cached.get(&digest) {
            let bytes = bytes.clone();
            actions.push(Action::Fetched { digest, bytes });
            return;
        }
        self.chunks.requested.insert(digest, now);
        self.retry_fetches(now, actions);
    }

    pub(super) fn retry_fetches(&mut self, now: Millis, actions: &mut Actions) {
        let is_due = |next: &Millis| *next <= now;
        let requested = self.chunks.requested.iter();
        let due: Vec<Digest> = requested.filter(|it| is_due(it.1)).map(|it| *it.0).collect();
        for digest in due {
            let Some(peer) = self.peers.pick(&mut self.generator) else {
                return;
            };
            self.chunks.requested.insert(digest, now + RETRY_INTERVAL);
            self.send(now, peer, Message::Want(digest), actions);
        }
    }

    pub(super) fn send_chunk(
        &mut self,
        now: Millis,
        from: base::Incarnation,
        digest: Digest,
        actions: &mut Actions,
    ) {
        let Some(peer) = self.peer(from) else { return };
        let message = match self.chunks.cached.get(&digest) {
            Some(bytes) => Message::Chunk(bytes.clone()),
            None => Message::Missing(digest),
        };
        self.send(now, peer, message, actions);
    }

    pub(super) fn handle_chunk(&mut self, bytes: Bytes, actions: &mut Actions) {
        let digest = Digest::of(&bytes);
        if self.chunks.requested.swap_remove(&digest).is_none() {
            return;
        }
        self.chunks.insert(self.settings.max_chunk_bytes, bytes.clone());
        actions.push(Action::Fetched { digest, bytes });
    }
}
