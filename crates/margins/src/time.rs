//! Points in time of the logs.

use std::ops::{Add, Sub};

use serde::Serialize;

/// A point in time in milliseconds: Unix time by the clock of the node's VM, or the simulated time of a bench, which
/// starts below zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Time(pub i64);

impl Time {
    /// Before all other points.
    pub const MIN: Self = Self(i64::MIN);

    /// After all other points.
    pub const MAX: Self = Self(i64::MAX);

    /// Milliseconds from `earlier` to this point, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> i64 {
        self.0.saturating_sub(earlier.0).max(0)
    }
}

impl Add<i64> for Time {
    type Output = Self;

    fn add(self, ms: i64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

impl Sub<i64> for Time {
    type Output = Self;

    fn sub(self, ms: i64) -> Self {
        Self(self.0.saturating_sub(ms))
    }
}
