//! Ages of claims, without a clock that nodes share.

use base::Millis;

/// Where the chain of spans begins; far enough from zero for claims written anew to lie before it.
const LOG_TIME_START: Millis = Millis(1 << 40);

/// What one node knows of the time that passed along a log. Ages are never more than the truth.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    /// Sum of the spans that the writers of the applied batches have stated.
    log_time: Millis,
    /// When the last batch was applied here.
    applied_at: Millis,
}

/// A point in a log, as one node knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Point {
    log_time: Millis,
    local_time: Millis,
}

impl Clock {
    /// A clock that knows nothing but that the log's last batch was not written after `now`.
    pub const fn new(now: Millis) -> Self {
        Self {
            log_time: LOG_TIME_START,
            applied_at: now,
        }
    }

    /// Time since the last batch was written, at least.
    pub const fn since_last_batch(&self, now: Millis) -> Millis {
        now.since(self.applied_at)
    }

    /// Another batch is applied, written at least `span` after the one before it.
    pub fn advance(&mut self, now: Millis, span: Millis) {
        self.log_time = self.log_time + span;
        self.applied_at = now;
    }

    /// The point `age` before the last batch.
    pub fn point(&self, age: Millis) -> Point {
        Point {
            log_time: self.log_time - age,
            local_time: self.applied_at - age,
        }
    }

    /// Time since `point`, at least.
    pub fn age(&self, now: Millis, point: Point) -> Millis {
        let by_log = self.log_time.since(point.log_time) + self.since_last_batch(now);
        by_log.max(now.since(point.local_time))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new(Millis::ZERO)
    }
}
