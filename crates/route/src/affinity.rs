//! Which replica holds which prefix in its cache, as far as this node knows.

use indexmap::IndexMap;

use crate::key::{Prefix, ReplicaKey};

/// Most prefixes remembered for one endpoint.
const CAPACITY: usize = 16_384;

/// A bounded table of prefixes; the oldest entries make room for new ones.
#[derive(Debug, Default)]
pub(crate) struct Table {
    homes: IndexMap<Prefix, ReplicaKey>,
    /// Place of the next entry to be replaced.
    hand: usize,
}

impl Table {
    /// The replica that should hold the prefix.
    pub fn get(&self, prefix: Prefix) -> Option<ReplicaKey> {
        self.homes.get(&prefix).copied()
    }

    /// Notes that the replica holds the prefix.
    pub fn insert(&mut self, prefix: Prefix, replica: ReplicaKey) {
        if !self.homes.contains_key(&prefix) && self.homes.len() >= CAPACITY {
            self.homes.swap_remove_index(self.hand);
            self.hand = (self.hand + 1) % CAPACITY;
        }
        self.homes.insert(prefix, replica);
    }

    /// Notes that the replica no longer holds the prefix.
    pub fn remove(&mut self, prefix: Prefix, replica: ReplicaKey) {
        if self.get(prefix) == Some(replica) {
            self.homes.swap_remove(&prefix);
        }
    }
}
