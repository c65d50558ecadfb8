//! Suspicion of replicas that other nodes report as unreachable.
//!
//! Load pattern: replicas become unreachable one after another while connections to them stay open. With many nodes,
//! each one sends to each replica too rarely to notice this before it loses a request of its own.
//!
//! A long wait for an answer is not evidence of failure: under overload all replicas are slow, and moving a request
//! makes another replica process its prompt again, which increases the overload.

use base::Millis;

use super::Pool;
use crate::ReplicaKey;

/// Inverse of the maximum share of replicas that a node excludes as suspect, or reports as unreachable. If there are
/// more, the nodes themselves are probably partitioned.
const MAX_SUSPECTS_DIVISOR: usize = 3;
/// Maximum number of unreachable replicas in a report, which must fit into a datagram.
const MAX_REPORTED: usize = 32;

impl Pool {
    /// Returns the hashes of the ids of replicas that this node can't connect to, for its report to the other nodes.
    pub fn unreachable(&self, now: Millis) -> Vec<u64> {
        let replicas = self.ids.values().map(|key| &self.replicas[*key]);
        let unreachable = replicas.filter(|replica| replica.health.is_unreachable(now));
        let reported: Vec<u64> = unreachable.map(|replica| replica.hash).collect();
        if reported.len() * MAX_SUSPECTS_DIVISOR > self.ids.len() {
            return Vec::new();
        }
        reported.into_iter().take(MAX_REPORTED).collect()
    }

    /// Returns the ready replicas to exclude because other nodes can't reach them.
    pub(super) fn suspects(&self, now: Millis, ready: &[ReplicaKey]) -> Vec<ReplicaKey> {
        let is_suspect = |key: &&ReplicaKey| self.replicas[**key].is_suspect(now);
        let suspects: Vec<ReplicaKey> = ready.iter().filter(is_suspect).copied().collect();
        if suspects.len() * MAX_SUSPECTS_DIVISOR > ready.len() {
            return Vec::new();
        }
        suspects
    }
}
