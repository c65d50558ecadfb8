//! Adaptive concurrency limit of a replica: additive increase, multiplicative decrease by windows of answers.

use base::Millis;

/// Least answers that a window takes in.
const MIN_WINDOW_SAMPLES: u16 = 16;
/// One in so many answers may be slow before the limit falls.
const SLOW_DIVISOR: u16 = 10;
/// Slow answers needed for a decrease, so that one of them changes nothing.
const MIN_SLOW_SAMPLES: u16 = 2;
/// What a decrease leaves of the limit.
const DECREASE_FACTOR: f32 = 0.8;
/// Part of the limit that must have been in use for an increase.
const MIN_UTILIZATION_FOR_INCREASE: f32 = 0.8;
/// Greatest limit, as a multiple of the known capacity.
const MAX_CAPACITY_MULTIPLE: f32 = 4.0;

/// A limit on requests at one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    value: f32,
    max: f32,
    peak_load: f32,
    samples: u16,
    slow: u16,
}

impl Limit {
    /// Starts at the known capacity.
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

    /// The limit, at least one.
    pub const fn value(&self) -> f32 {
        self.value
    }

    /// The limit in whole requests.
    pub const fn slots(&self) -> u32 {
        self.value as u32
    }

    /// Takes in one answer's latency and the estimated load when it came.
    pub fn observe(&mut self, latency: Millis, target: Millis, load: f32) {
        self.samples += 1;
        self.slow += u16::from(latency > target);
        self.peak_load = self.peak_load.max(load);
        if self.samples >= MIN_WINDOW_SAMPLES.max(self.slots() as u16) {
            self.end_window();
        }
    }

    /// The replica said that it has no room.
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
