//! Moving averages of response latency and service time of an endpoint.

use base::Millis;

/// A new value has a weight of one in `SMOOTHING_DIVISOR` in the average.
const SMOOTHING_DIVISOR: f64 = 16.0;

/// Exponential moving averages over an endpoint's dispatches, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    first_token: f64,
    service_time: f64,
}

impl Latency {
    /// Starts both averages at the latency target, until measurements arrive.
    pub fn new(target: Millis) -> Self {
        let target = target.0 as f64;
        Self {
            first_token: target,
            service_time: target,
        }
    }

    /// Records the time from dispatch to the first token or byte.
    pub fn observe_first_token(&mut self, elapsed: Millis) {
        self.first_token += (elapsed.0 as f64 - self.first_token) / SMOOTHING_DIVISOR;
    }

    /// Records how long a dispatch held its slot.
    pub fn observe_service_time(&mut self, elapsed: Millis) {
        self.service_time += (elapsed.0 as f64 - self.service_time) / SMOOTHING_DIVISOR;
    }

    /// Returns the average time from dispatch to the first token or byte.
    pub const fn first_token(&self) -> Millis {
        Millis(self.first_token as u64)
    }

    /// Estimates the time until `position` slots have become free when `slots` are in use.
    pub fn queueing_delay(&self, position: f64, slots: u32) -> Millis {
        Millis((position * self.service_time / f64::from(slots.max(1))) as u64)
    }
}
