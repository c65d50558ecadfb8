//! Time since a stand-in's start.

use base::Millis;
use tokio::time::Instant;

/// The monotonic clock of one stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self(Instant::now())
    }

    /// The span since the start.
    pub fn now(self) -> Millis {
        Millis(self.0.elapsed().as_millis() as u64)
    }

    /// The span since the start, in microseconds.
    pub fn micros(self) -> u64 {
        self.0.elapsed().as_micros() as u64
    }

    /// The instant of a point in microseconds.
    pub fn instant(self, micros: u64) -> Instant {
        self.0 + std::time::Duration::from_micros(micros)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
