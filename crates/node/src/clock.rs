//! The process's monotonic clock, read at the edges and passed on as [`Millis`].

use std::time::Instant;

use base::Millis;

/// Milliseconds since the clock was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present point.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
