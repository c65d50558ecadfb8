//! Ages of claims, measured without a clock shared between nodes.

use base::Millis;

/// Initial log time; far enough from zero that rewritten claims can lie before it.
const LOG_TIME_START: Millis = Millis(1 << 40);

/// Time along a log as known to one node. Ages are lower bounds: they never exceed the true age.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    /// Sum of the spans of the applied batches.
    log_time: Millis,
    /// Local time when the last batch was applied.
    applied_at: Millis,
}

/// Point in time along a log, as known to one node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Point {
    log_time: Millis,
    local_time: Millis,
}

impl Clock {
    /// Creates a clock for a log whose last batch was written at or before `now`.
    pub const fn new(now: Millis) -> Self {
        Self {
            log_time: LOG_TIME_START,
            applied_at: now,
        }
    }

    /// Lower bound of the time since the last batch was written.
    pub const fn since_last_batch(&self, now: Millis) -> Millis {
        now.since(self.applied_at)
    }

    /// Records a batch that is applied at `now` and was written at least `span` after the previous one.
    pub fn advance(&mut self, now: Millis, span: Millis) {
        self.log_time = self.log_time + span;
        self.applied_at = now;
    }

    /// Point `age` before the last batch.
    pub fn point(&self, age: Millis) -> Point {
        Point {
            log_time: self.log_time - age,
            local_time: self.applied_at - age,
        }
    }

    /// Lower bound of the time since `point`.
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
