//! Points in time and durations in milliseconds, based on the monotonic clock of a process.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of a process, or a duration, in milliseconds.
///
/// Points of different processes are not comparable; only durations may be sent to another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, or a zero duration.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a duration of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the time elapsed from `earlier` to this point, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts the duration to [`Duration`].
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the duration in seconds, rounded up, as the `Retry-After` header requires.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
