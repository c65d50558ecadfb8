//! Prefix affinity: which replica is believed to have which prompt prefix cached.

use indexmap::IndexMap;

use crate::key::{Prefix, ReplicaKey};

/// Maximum number of prefixes kept for one endpoint.
const CAPACITY: usize = 16_384;

/// The replica that has a prefix cached, and this node's requests in flight with that prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Location {
    pub replica: ReplicaKey,
    pub in_flight: u32,
}

/// A bounded table from prefix to replica. When it is full, a new prefix evicts an old one.
#[derive(Debug, Default)]
pub(crate) struct Table {
    locations: IndexMap<Prefix, Location>,
    /// Index of the next entry to evict.
    next_evicted: usize,
}

impl Table {
    /// Returns the replica that should have the prefix cached.
    pub fn get(&self, prefix: Prefix) -> Option<Location> {
        self.locations.get(&prefix).copied()
    }

    /// Records that the replica has the prefix cached.
    pub fn insert(&mut self, prefix: Prefix, replica: ReplicaKey) {
        if let Some(location) = self.locations.get_mut(&prefix) {
            location.replica = replica;
            return;
        }
        if self.locations.len() >= CAPACITY {
            self.locations.swap_remove_index(self.next_evicted);
            self.next_evicted = (self.next_evicted + 1) % CAPACITY;
        }
        self.locations.insert(
            prefix,
            Location {
                replica,
                in_flight: 0,
            },
        );
    }

    /// Records that the replica no longer has the prefix cached.
    pub fn remove(&mut self, prefix: Prefix, replica: ReplicaKey) {
        if self
            .get(prefix)
            .is_some_and(|location| location.replica == replica)
        {
            self.locations.swap_remove(&prefix);
        }
    }

    /// Records the dispatch of a request with the prefix to the replica.
    pub fn record_dispatch(&mut self, prefix: Prefix, replica: ReplicaKey) {
        self.insert(prefix, replica);
        if let Some(location) = self.locations.get_mut(&prefix) {
            location.in_flight += 1;
        }
    }

    /// Records the end of a dispatch with the prefix, whose entry may have been evicted meanwhile.
    pub fn record_end(&mut self, prefix: Prefix) {
        if let Some(location) = self.locations.get_mut(&prefix) {
            location.in_flight = location.in_flight.saturating_sub(1);
        }
    }
}
