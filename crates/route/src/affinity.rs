//! Which replica holds which prefix in its cache, as far as this node knows.

use indexmap::IndexMap;

use crate::key::{Prefix, ReplicaKey};

/// Most prefixes remembered for one endpoint.
const CAPACITY: usize = 16_384;

/// Where a prefix is held, and how many of this node's requests with it are in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Location {
    pub replica: ReplicaKey,
    pub in_flight: u32,
}

/// A bounded table of prefixes; the oldest entries make room for new ones.
#[derive(Debug, Default)]
pub(crate) struct Table {
    locations: IndexMap<Prefix, Location>,
    /// Place of the next entry to be replaced.
    next_evicted: usize,
}

impl Table {
    /// The replica that should hold the prefix.
    pub fn get(&self, prefix: Prefix) -> Option<Location> {
        self.locations.get(&prefix).copied()
    }

    /// Notes that the replica holds the prefix.
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

    /// Notes that the replica no longer holds the prefix.
    pub fn remove(&mut self, prefix: Prefix, replica: ReplicaKey) {
        if self
            .get(prefix)
            .is_some_and(|location| location.replica == replica)
        {
            self.locations.swap_remove(&prefix);
        }
    }

    /// A request with the prefix was dispatched to the replica.
    pub fn record_dispatch(&mut self, prefix: Prefix, replica: ReplicaKey) {
        self.insert(prefix, replica);
        if let Some(location) = self.locations.get_mut(&prefix) {
            location.in_flight += 1;
        }
    }

    /// A dispatch with the prefix has ended. The entry may have been replaced meanwhile.
    pub fn record_end(&mut self, prefix: Prefix) {
        if let Some(location) = self.locations.get_mut(&prefix) {
            location.in_flight = location.in_flight.saturating_sub(1);
        }
    }
}
