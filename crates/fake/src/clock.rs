//! Time since the start of a fake server.

use base::Millis;
use tokio::time::Instant;

/// Monotonic clock of one fake server.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self(Instant::now())
    }

    /// Returns the time since the start.
    pub fn now(self) -> Millis {
        Millis(self.0.elapsed().as_millis() as u64)
    }

    /// Returns the time since the start in microseconds.
    pub fn micros(self) -> u64 {
        self.0.elapsed().as_micros() as u64
    }

    /// Converts microseconds since the start to an instant.
    pub fn instant(self, micros: u64) -> Instant {
        self.0 + std::time::Duration::from_micros(micros)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
