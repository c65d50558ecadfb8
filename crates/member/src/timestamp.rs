//! Points in time that may precede the start of the local clock.

use base::Millis;

/// A point in time on the local clock, in milliseconds; negative before the start of the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timestamp(i64);

impl Timestamp {
    /// Returns the timestamp of `now`.
    pub(crate) fn at(now: Millis) -> Self {
        Self(now.0 as i64)
    }

    /// Returns the timestamp `age` milliseconds before `now`.
    pub(crate) fn before(now: Millis, age: u64) -> Self {
        Self((now.0 as i64).saturating_sub_unsigned(age))
    }

    /// Returns the time elapsed until `now`, or zero if the timestamp is later.
    pub(crate) fn age(self, now: Millis) -> Millis {
        Millis(u64::try_from(now.0 as i64 - self.0).unwrap_or(0))
    }

    /// Returns the time elapsed until `now` in milliseconds, saturating, as frames carry it.
    pub(crate) fn age_millis(self, now: Millis) -> u32 {
        u32::try_from(self.age(now).0).unwrap_or(u32::MAX)
    }
}
