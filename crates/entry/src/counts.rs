//! Counts of requests that began to run, by usage window and workspace.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Number of windows kept. The report of a window is due before the window is dropped.
const KEPT_WINDOWS: usize = 5;

/// The counts of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Counts by window number, then by workspace.
    pub windows: IndexMap<u64, IndexMap<Arc<str>, u64>>,
}

impl Counts {
    /// Counts one request.
    pub fn add(&mut self, window: u64, workspace: &Arc<str>) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(Arc::clone(workspace)).or_default() += 1;
        while self.windows.len() > KEPT_WINDOWS {
            self.windows.shift_remove_index(0);
        }
    }

    /// Adds the counts of a window to `sum`.
    pub fn add_to(&self, window: u64, sum: &mut IndexMap<Arc<str>, u64>) {
        for (workspace, count) in self.windows.get(&window).into_iter().flatten() {
            *sum.entry(Arc::clone(workspace)).or_default() += count;
        }
    }

    /// Number of the newest window with a request.
    pub fn newest(&self) -> Option<u64> {
        self.windows.keys().copied().max()
    }
}
