//! Adaptive concurrency limit of a replica: additive increase, multiplicative decrease over windows of responses.

use base::Millis;

/// Minimum number of responses in a window.
const MIN_WINDOW_SAMPLES: u16 = 16;
/// The limit decreases when at least one in this many responses is slow.
const SLOW_DIVISOR: u16 = 10;
/// Minimum number of slow responses for a decrease, so that a single one changes nothing.
const MIN_SLOW_SAMPLES: u16 = 2;
/// Factor applied to the limit on a decrease.
const DECREASE_FACTOR: f32 = 0.8;
/// Fraction of the limit that must have been in use for an increase.
const MIN_UTILIZATION_FOR_INCREASE: f32 = 0.8;
/// Maximum limit, as a multiple of the known capacity.
const MAX_CAPACITY_MULTIPLE: f32 = 4.0;

/// Adaptive limit on concurrent requests at a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    value: f32,
    max: f32,
    peak_load: f32,
    samples: u16,
    slow: u16,
}

impl Limit {
    /// Creates a limit that starts at the known capacity.
    pub fn new(capacity: u32) -> Self {
        let capacity = capacity.max(1) as f32;
        Self {
            value: capacity,
            max: capacity * MAX_CAPACITY_MULTIPLE,
            peak_load: 0.0,
            samples: 0,
            slow: 0,
        }
    }

    /// Returns the limit, which is at least one.
    pub const fn value(&self) -> f32 {
        self.value
    }

    /// Returns the limit in whole requests.
    pub const fn slots(&self) -> u32 {
        self.value as u32
    }

    /// Records the latency of a response and the estimated load when it arrived.
    pub fn observe(&mut self, latency: Millis, target: Millis, load: f32) {
        self.samples += 1;
        self.slow += u16::from(latency > target);
        self.peak_load = self.peak_load.max(load);
        if self.samples >= MIN_WINDOW_SAMPLES.max(self.slots() as u16) {
            self.end_window();
        }
    }

    /// Records that the replica rejected a request for lack of capacity.
    pub fn record_rejection(&mut self) {
        self.samples += 1;
        self.slow += 1;
        if self.slow >= MIN_SLOW_SAMPLES {
            self.decrease();
        }
    }

    fn end_window(&mut self) {
        if self.slow >= MIN_SLOW_SAMPLES && self.slow * SLOW_DIVISOR >= self.samples {
            self.decrease();
            return;
        }
        if self.slow * SLOW_DIVISOR < self.samples
            && self.peak_load >= self.value * MIN_UTILIZATION_FOR_INCREASE
        {
            self.value = (self.value + 1.0).min(self.max);
        }
        self.reset();
    }

    fn decrease(&mut self) {
        self.value = (self.value * DECREASE_FACTOR).max(1.0);
        self.reset();
    }

    fn reset(&mut self) {
        self.samples = 0;
        self.slow = 0;
        self.peak_load = 0.0;
    }
}
