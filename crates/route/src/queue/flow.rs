//! The queued requests of one workspace at one endpoint.

use std::collections::BTreeSet;

use crate::arrival::Priority;
use crate::hash::Map;
use crate::key::{CallKey, ReplicaKey, VersionKey};

/// A queued request, ordered by priority and then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    pub priority: Priority,
    /// Number of the arrival, so that a retry keeps its position.
    pub sequence: u64,
    pub call: CallKey,
}

/// Which replicas a request can use.
///
/// Requests are queued separately by their constraints, so that those waiting for a fully used version or replica do
/// not block the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Constraints {
    pub version: Option<VersionKey>,
    pub fallback: Option<VersionKey>,
    /// The replica that had the request's prefix cached when the request was queued.
    pub affinity_replica: Option<ReplicaKey>,
}

/// Requests of one workspace, with its weight and next start tag.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    by_constraints: Map<Constraints, BTreeSet<Entry>>,
    len: usize,
    pub start_tag: u64,
    pub weight: u32,
    pub parked: bool,
}

impl Flow {
    pub const fn len(&self) -> usize {
        self.len
    }

    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn insert(&mut self, constraints: Constraints, entry: Entry) {
        if self.by_constraints.entry(constraints).or_default().insert(entry) {
            self.len += 1;
        }
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, constraints: Constraints, entry: Entry) -> bool {
        let Some(entries) = self.by_constraints.get_mut(&constraints) else {
            return false;
        };
        if !entries.remove(&entry) {
            return false;
        }
        self.len -= 1;
        if entries.is_empty() {
            self.by_constraints.swap_remove(&constraints);
        }
        true
    }

    /// Returns the first request for each set of constraints, in order.
    pub fn heads(&self) -> Vec<Entry> {
        let mut heads: Vec<Entry> = self
            .by_constraints
            .values()
            .filter_map(|entries| entries.first().copied())
            .collect();
        heads.sort_unstable();
        heads
    }

    pub fn calls(&self) -> impl Iterator<Item = CallKey> + '_ {
        self.by_constraints.values().flatten().map(|entry| entry.call)
    }
}
