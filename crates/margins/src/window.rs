//! Sums over sliding windows.

use std::collections::VecDeque;

use crate::Time;

/// Maximum number of entries of a window.
const MAX_ENTRIES: usize = 1 << 20;

/// Amounts by time. They are added in the order of their times.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Each with the sum of all amounts up to and with its own.
    entries: VecDeque<(Time, u64)>,
    /// Sum of the amounts that were dropped.
    dropped: u64,
    overflow: u64,
}

impl Window {
    /// Adds an amount.
    pub fn push(&mut self, at: Time, amount: u64) {
        let sum = self.entries.back().map_or(self.dropped, |(_, sum)| *sum);
        self.entries.push_back((at, sum.saturating_add(amount)));
        if self.entries.len() > MAX_ENTRIES {
            self.overflow += 1;
            self.drop_first();
        }
    }

    /// Sum of the amounts after `after`, up to and with `until`.
    pub fn sum(&self, after: Time, until: Time) -> u64 {
        self.sum_until(until) - self.sum_until(after.min(until))
    }

    /// Time of the first entry after a point in time.
    pub fn next_after(&self, at: Time) -> Option<Time> {
        let index = self.entries.partition_point(|(own, _)| *own <= at);
        self.entries.get(index).map(|(own, _)| *own)
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops the amounts up to and with `until`.
    pub fn trim(&mut self, until: Time) {
        while self.entries.front().is_some_and(|(at, _)| *at <= until) {
            self.drop_first();
        }
    }

    /// Drops all amounts.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.dropped = 0;
    }

    /// Number of entries that were dropped early because there was no room for them.
    pub const fn overflow(&self) -> u64 {
        self.overflow
    }

    fn drop_first(&mut self) {
        if let Some((_, sum)) = self.entries.pop_front() {
            self.dropped = sum;
        }
    }

    fn sum_until(&self, until: Time) -> u64 {
        let index = self.entries.partition_point(|(at, _)| *at <= until);
        match index.checked_sub(1) {
            Some(last) => self.entries[last].1,
            None => self.dropped,
        }
    }
}
