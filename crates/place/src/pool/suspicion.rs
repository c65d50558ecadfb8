//! Replicas that can't be reached, as nodes tell each other.
//!
//! Load pattern: replicas go dark one after another, connections to them stay open, and each of many nodes sends to each
//! replica too rarely to notice before it has lost a request of its own there.
//!
//! NB: a long wait for an answer is no evidence: where replicas are overloaded all wait, and what is moved away from a
//! replica is read again elsewhere, which makes it worse.

use base::Millis;

use super::Pool;
use crate::ReplicaKey;

/// Part of the replicas that may be left out for others' doubts, and that a node may doubt, the inverse: with more, it
/// is rather the nodes that are cut off.
const MAX_SUSPECTS_DIVISOR: usize = 3;
/// Replicas that a node tells its doubts of at most: a datagram is small.
const MAX_REPORTED: usize = 32;

impl Pool {
    /// Hashes of the ids of replicas that this node can't connect to, to be told to the others.
    pub fn unreachable(&self, now: Millis) -> Vec<u64> {
        let replicas = self.ids.values().map(|key| &self.replicas[*key]);
        let unreachable = replicas.filter(|replica| replica.health.is_unreachable(now));
        let reported: Vec<u64> = unreachable.map(|replica| replica.hash).collect();
        if reported.len() * MAX_SUSPECTS_DIVISOR > self.ids.len() {
            return Vec::new();
        }
        reported.into_iter().take(MAX_REPORTED).collect()
    }

    /// Of the replicas that are ready, those to be left out since others can't reach them.
    pub(super) fn suspects(&self, now: Millis, ready: &[ReplicaKey]) -> Vec<ReplicaKey> {
        let is_suspect = |key: &&ReplicaKey| self.replicas[**key].is_suspect(now);
        let suspects: Vec<ReplicaKey> = ready.iter().filter(is_suspect).copied().collect();
        if suspects.len() * MAX_SUSPECTS_DIVISOR > ready.len() {
            return Vec::new();
        }
        suspects
    }
}
