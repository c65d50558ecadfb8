//! Milliseconds on a process's own monotonic clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, or a span of it, in milliseconds.
///
/// NB: two processes' points can't be compared; only spans travel between processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, or an empty span.
    pub const ZERO: Self = Self(0);
    /// A point that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// The span from `earlier` to this point; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The same span as a standard duration.
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// The span in seconds, rounded up: what `Retry-After` takes.
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
