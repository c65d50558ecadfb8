//! The process's monotonic clock. Code that does I/O reads it and passes the time on as [`Millis`].

use std::time::Duration;

use base::Millis;
use nix::time::{ClockId, clock_gettime};

/// Counts milliseconds since its creation, including the time that the VM was suspended.
///
/// `std::time::Instant` does not advance while a VM is suspended, so an expired lease or a stale view would still
/// seem fresh after a resume.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        Millis(time_since_boot().saturating_sub(self.start).as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since the VM booted, including the time that it was suspended.
fn time_since_boot() -> Duration {
    // Every Linux version that the daemon supports has this clock, so reading it cannot fail.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
