//! Ages of claims, without a clock that nodes share.

use base::Millis;

/// Where the chain of spans begins; far enough from zero for claims written anew to lie before it.
const CHAIN_START: Millis = Millis(1 << 40);

/// What one node knows of the time that passed along a log. Ages are never more than the truth.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    /// Sum of the spans that the writers of the applied batches have stated.
    chain: Millis,
    /// When the last batch was applied here.
    applied: Millis,
}

/// A point in a log, as one node knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Point {
    chain: Millis,
    local: Millis,
}

impl Clock {
    /// A clock that knows nothing but that the log's last batch was not written after `now`.
    pub const fn new(now: Millis) -> Self {
        Self {
            chain: CHAIN_START,
            applied: now,
        }
    }

    /// Time since the last batch was written, at least.
    pub const fn span(&self, now: Millis) -> Millis {
        now.since(self.applied)
    }

    /// Another batch is applied, written at least `span` after the one before it.
    pub fn advance(&mut self, now: Millis, span: Millis) {
        self.chain = self.chain + span;
        self.applied = now;
    }

    /// The point `age` before the last batch.
    pub fn point(&self, age: Millis) -> Point {
        Point {
            chain: self.chain - age,
            local: self.applied - age,
        }
    }

    /// Time since `point`, at least.
    pub fn age(&self, now: Millis, point: Point) -> Millis {
        let along = self.chain.since(point.chain) + self.span(now);
        along.max(now.since(point.local))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new(Millis::ZERO)
    }
}
