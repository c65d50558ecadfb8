//! How fast an endpoint answers, and how long its slots are held.

use base::Millis;

/// One in so many parts of the average is replaced by each new value.
const SMOOTHING: f64 = 16.0;

/// Moving averages over an endpoint's recent dispatches.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    answer: f64,
    hold: f64,
}

impl Speed {
    /// Starts at the latency target, since nothing better is known.
    pub fn new(target: Millis) -> Self {
        let target = target.0 as f64;
        Self {
            answer: target,
            hold: target,
        }
    }

    /// Takes in the time to an answer's beginning.
    pub fn observe_answer(&mut self, span: Millis) {
        self.answer += (span.0 as f64 - self.answer) / SMOOTHING;
    }

    /// Takes in the time that a slot was held.
    pub fn observe_hold(&mut self, span: Millis) {
        self.hold += (span.0 as f64 - self.hold) / SMOOTHING;
    }

    /// Time from dispatch to the answer's beginning.
    pub const fn answer(&self) -> Millis {
        Millis(self.answer as u64)
    }

    /// Time for `turns` slots to become free when `slots` are held.
    pub fn wait(&self, turns: f64, slots: u32) -> Millis {
        Millis((turns * self.hold / f64::from(slots.max(1))) as u64)
    }
}
