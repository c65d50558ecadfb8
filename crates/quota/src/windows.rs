//! Counts of usage windows that were or may have been reported.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Counts by workspace.
pub type Counts = IndexMap<Arc<str>, u64>;

/// Counts of the newest usage windows, by window number in ascending order.
///
/// Load pattern: the store is restored from a copy, whose older windows are merged with those that a node remembers. They
/// must not displace the newer ones, which only the node knows and which may have been reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "IndexMap<u64, Counts>", into = "IndexMap<u64, Counts>")]
pub struct Windows {
    counts: IndexMap<u64, Counts>,
}

impl Windows {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over counts by window number, in any order.
    #[must_use]
    pub fn with_counts(mut counts: IndexMap<u64, Counts>) -> Self {
        counts.sort_unstable_keys();
        Self { counts }
    }

    /// The counts of a window.
    #[must_use]
    pub fn get(&self, window: u64) -> Option<&Counts> {
        self.counts.get(&window)
    }

    /// Sets the counts of a window and keeps the `limit` newest windows.
    pub fn insert(&mut self, window: u64, counts: Counts, limit: usize) {
        self.counts.insert_sorted(window, counts);
        self.keep_newest(limit);
    }

    /// Adds the windows of another table that are not known, and keeps the `limit` newest ones.
    pub fn merge(&mut self, other: &Self, limit: usize) {
        for (window, counts) in &other.counts {
            if !self.counts.contains_key(window) {
                self.counts.insert_sorted(*window, counts.clone());
            }
        }
        self.keep_newest(limit);
    }

    /// The windows with their counts, oldest first.
    #[must_use]
    pub const fn as_map(&self) -> &IndexMap<u64, Counts> {
        &self.counts
    }

    /// The newest window.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.counts.last().map(|(window, _)| *window)
    }

    fn keep_newest(&mut self, limit: usize) {
        let excess = self.counts.len().saturating_sub(limit);
        self.counts.drain(..excess);
    }
}

impl From<IndexMap<u64, Counts>> for Windows {
    fn from(counts: IndexMap<u64, Counts>) -> Self {
        Self::with_counts(counts)
    }
}

impl From<Windows> for IndexMap<u64, Counts> {
    fn from(windows: Windows) -> Self {
        windows.counts
    }
}
