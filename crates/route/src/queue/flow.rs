//! The waiting requests of one workspace at one endpoint.

use std::collections::BTreeSet;

use crate::arrival::Priority;
use crate::key::CallKey;

/// Place of a request in its flow: by priority, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    pub priority: Priority,
    /// Number of the arrival, so that a retry keeps its place.
    pub number: u64,
    pub call: CallKey,
}

/// One workspace's requests, its weight and its next start tag.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    waiting: BTreeSet<Entry>,
    pub tag: u64,
    pub weight: u32,
    pub parked: bool,
}

impl Flow {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn insert(&mut self, entry: Entry) {
        self.waiting.insert(entry);
    }

    pub fn remove(&mut self, entry: Entry) -> bool {
        self.waiting.remove(&entry)
    }

    pub fn head(&self) -> Option<CallKey> {
        self.waiting.first().map(|entry| entry.call)
    }

    pub fn calls(&self) -> impl Iterator<Item = CallKey> + '_ {
        self.waiting.iter().map(|entry| entry.call)
    }
}
