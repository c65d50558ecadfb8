//! Weight store with limited throughput.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Weight store shared by the replicas of one process; it serves one load at a time.
#[derive(Debug)]
pub struct WeightStore {
    mb_per_s: u64,
    free_at: Mutex<Option<Instant>>,
}

impl WeightStore {
    /// Creates a store with a total throughput of `mb_per_s` megabytes per second.
    pub fn new(mb_per_s: u64) -> Self {
        Self {
            mb_per_s: mb_per_s.max(1),
            free_at: Mutex::new(None),
        }
    }

    /// Reserves the next free time for loading `size_mb` megabytes and returns the time until they are loaded.
    pub fn reserve(&self, size_mb: u64) -> Duration {
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let start = free_at.map_or(now, |free_at| free_at.max(now));
        let done = start + Duration::from_millis(size_mb * 1_000 / self.mb_per_s);
        *free_at = Some(done);
        done - now
    }
}
