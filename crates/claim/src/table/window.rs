//! The window of issue numbers that are still accepted.

use std::collections::VecDeque;

use base::Millis;

/// Marks kept over one lifetime; keys expire within this fraction of it.
const MARKS: u64 = 32;

/// Issue numbers from the low-water mark to the next one. The mark only grows.
#[derive(Clone, Debug)]
pub(super) struct Window {
    low: u64,
    next: u64,
    lifetime: Millis,
    marks: VecDeque<Mark>,
}

/// All numbers below `next` were issued before `at`.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Millis,
    next: u64,
}

impl Window {
    pub const fn new(lifetime: Millis) -> Self {
        Self {
            low: 0,
            next: 0,
            lifetime,
            marks: VecDeque::new(),
        }
    }

    pub const fn low(&self) -> u64 {
        self.low
    }

    pub const fn next(&self) -> u64 {
        self.next
    }

    /// The next number.
    pub const fn issue(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        number
    }

    /// Raises the mark to `low`.
    pub fn raise(&mut self, low: u64) {
        self.low = self.low.max(low);
    }

    /// Raises the mark over every number older than the lifetime.
    pub fn age(&mut self, now: Millis) {
        self.mark(now);
        while let Some(mark) = self.marks.front().copied() {
            if now.since(mark.at) < self.lifetime {
                break;
            }
            self.raise(mark.next);
            self.marks.pop_front();
        }
    }

    fn mark(&mut self, now: Millis) {
        let due = self.marks.back().is_none_or(|last| {
            let spacing = Millis(self.lifetime.0 / MARKS);
            last.next < self.next && now.since(last.at) >= spacing
        });
        if due {
            self.marks.push_back(Mark {
                at: now,
                next: self.next,
            });
        }
    }
}
