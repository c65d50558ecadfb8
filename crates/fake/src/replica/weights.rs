//! The rate-limited weight store.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// A weight store that replicas of one process share; loads follow one another.
#[derive(Debug)]
pub struct WeightStore {
    mb_per_s: u64,
    free_at: Mutex<Option<Instant>>,
}

impl WeightStore {
    /// A store that delivers `mb_per_s` megabytes a second in all.
    pub fn new(mb_per_s: u64) -> Self {
        Self {
            mb_per_s: mb_per_s.max(1),
            free_at: Mutex::new(None),
        }
    }

    /// Takes the next free span for `mb` megabytes; the span from now until they are loaded.
    pub fn reserve(&self, mb: u64) -> Duration {
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let start = free_at.map_or(now, |free_at| free_at.max(now));
        let done = start + Duration::from_millis(mb * 1_000 / self.mb_per_s);
        *free_at = Some(done);
        done - now
    }
}
