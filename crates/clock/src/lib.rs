//! The process's monotonic clock, read at the edges and passed on as [`Millis`].

use std::time::Duration;

use base::Millis;
use nix::time::{ClockId, clock_gettime};

/// Milliseconds since the clock was made, the time that the VM was suspended included.
///
/// NB: `std::time::Instant` stands still while a VM is suspended, so that a lease or a view would seem fresh after it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    /// The present point.
    pub fn now(&self) -> Millis {
        Millis(time_since_boot().saturating_sub(self.start).as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Time since the VM booted, suspension included.
fn time_since_boot() -> Duration {
    // The clock exists on every Linux that the daemon supports, so that reading it can't fail.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
