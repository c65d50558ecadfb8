//! Window of accepted issue numbers.

use std::collections::VecDeque;

use base::Millis;

/// Checkpoints per key lifetime. Keys expire late by at most about this fraction of it.
const CHECKPOINTS: u64 = 32;

/// Accepted issue numbers `low..next`. The low-water mark `low` never decreases.
#[derive(Clone, Debug)]
pub(super) struct Window {
    low: u64,
    next: u64,
    lifetime: Millis,
    checkpoints: VecDeque<Checkpoint>,
}

/// All numbers below `next` were issued no later than `at`.
#[derive(Clone, Copy, Debug)]
struct Checkpoint {
    at: Millis,
    next: u64,
}

impl Window {
    pub const fn new(lifetime: Millis) -> Self {
        Self {
            low: 0,
            next: 0,
            lifetime,
            checkpoints: VecDeque::new(),
        }
    }

    pub const fn low(&self) -> u64 {
        self.low
    }

    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Allocates the next issue number.
    pub const fn issue(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        number
    }

    /// Raises the low-water mark to `low`, if that is higher.
    pub fn raise_low(&mut self, low: u64) {
        self.low = self.low.max(low);
    }

    /// Raises the low-water mark above every number older than the lifetime.
    pub fn expire(&mut self, now: Millis) {
        self.add_checkpoint(now);
        while let Some(checkpoint) = self.checkpoints.front().copied() {
            if now.since(checkpoint.at) < self.lifetime {
                break;
            }
            self.raise_low(checkpoint.next);
            self.checkpoints.pop_front();
        }
    }

    fn add_checkpoint(&mut self, now: Millis) {
        let due = self.checkpoints.back().is_none_or(|last| {
            let spacing = Millis(self.lifetime.0 / CHECKPOINTS);
            last.next < self.next && now.since(last.at) >= spacing
        });
        if due {
            self.checkpoints.push_back(Checkpoint {
                at: now,
                next: self.next,
            });
        }
    }
}
