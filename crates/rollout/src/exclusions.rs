//! Versions that get no requests, whatever is ordered next.

use std::sync::Arc;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// Maximum number of versions kept.
const MAX_VERSIONS: usize = 16;

/// Versions of an endpoint that were rolled back, replaced, or given up for a later order; latest last.
///
/// Load pattern: a version is rolled back, and its successor is ordered while the replicas of the first one are still
/// registered. They must not get the traffic that the successor doesn't get yet. A version stays excluded until it is ordered
/// itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Exclusions {
    versions: IndexSet<Arc<str>>,
}

impl Exclusions {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Excludes a version, as the latest one. An empty name stands for none. The earliest one makes room.
    pub fn insert(&mut self, version: &Arc<str>) {
        if version.is_empty() {
            return;
        }
        self.versions.shift_remove(version);
        self.versions.insert(Arc::clone(version));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.shift_remove_index(0);
        }
    }

    /// Excludes all versions of another list.
    pub fn extend(&mut self, other: &Self) {
        for version in &other.versions {
            if !self.versions.contains(version) {
                self.insert(version);
            }
        }
    }

    /// Excludes a version no longer.
    pub fn remove(&mut self, version: &str) {
        self.versions.shift_remove(version);
    }

    /// Whether a version is excluded.
    pub fn contains(&self, version: &str) -> bool {
        self.versions.contains(version)
    }

    /// Whether no version is excluded.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// The versions, latest last.
    pub fn into_versions(self) -> Arc<[Arc<str>]> {
        self.versions.into_iter().collect()
    }
}
