//! Points that may lie before the start of the own clock.

use base::Millis;

/// A point on the own clock, in milliseconds; negative before the clock's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timestamp(i64);

impl Timestamp {
    /// The point `now`.
    pub(crate) fn at(now: Millis) -> Self {
        Self(now.0 as i64)
    }

    /// The point `age` milliseconds before `now`.
    pub(crate) fn before(now: Millis, age: u64) -> Self {
        Self((now.0 as i64).saturating_sub_unsigned(age))
    }

    /// The span from this point to `now`.
    pub(crate) fn age(self, now: Millis) -> Millis {
        Millis(u64::try_from(now.0 as i64 - self.0).unwrap_or(0))
    }

    /// The same span in the unit that frames carry, in milliseconds.
    pub(crate) fn age_millis(self, now: Millis) -> u32 {
        u32::try_from(self.age(now).0).unwrap_or(u32::MAX)
    }
}
