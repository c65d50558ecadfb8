//! How fast an endpoint answers, and how long its slots are held.

use base::Millis;

/// One in so many parts of the average is replaced by each new value.
const SMOOTHING_DIVISOR: f64 = 16.0;

/// Moving averages over an endpoint's recent dispatches.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    first_token: f64,
    service_time: f64,
}

impl Latency {
    /// Starts at the latency target, since nothing better is known.
    pub fn new(target: Millis) -> Self {
        let target = target.0 as f64;
        Self {
            first_token: target,
            service_time: target,
        }
    }

    /// Takes in the time to an answer's beginning.
    pub fn observe_first_token(&mut self, elapsed: Millis) {
        self.first_token += (elapsed.0 as f64 - self.first_token) / SMOOTHING_DIVISOR;
    }

    /// Takes in the time that a slot was held.
    pub fn observe_service_time(&mut self, elapsed: Millis) {
        self.service_time += (elapsed.0 as f64 - self.service_time) / SMOOTHING_DIVISOR;
    }

    /// Time from dispatch to the answer's beginning.
    pub const fn first_token(&self) -> Millis {
        Millis(self.first_token as u64)
    }

    /// Time for `turns` slots to become free when `slots` are held.
    pub fn queueing_delay(&self, position: f64, slots: u32) -> Millis {
        Millis((position * self.service_time / f64::from(slots.max(1))) as u64)
    }
}
