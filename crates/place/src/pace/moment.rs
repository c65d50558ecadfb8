//! How long work takes at a replica at the moment, as it reports.

use base::Millis;

/// Bounds of a reported figure, as a multiple of the usual time.
const BOUNDS: (f64, f64) = (0.25, 4.0);
/// Half-life of a report: replicas change about every 0.6 s.
const HALF_LIFE_MS: f64 = 300.0;
/// Age from which on a report says nothing.
const MAX_AGE_MS: f64 = 2_000.0;
/// Minimum distance of a report from the usual time for a sample to tell whether it is true.
const TELLING: f64 = 0.3;
/// Weight of a sample in the belief.
const BELIEF_WEIGHT: f32 = 0.25;
/// Belief below which reports are ignored.
const MIN_BELIEF: f32 = 0.4;

/// The reported pace of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moment {
    at: Millis,
    /// Time that work takes, as a multiple of the usual time.
    factor: f64,
    /// How far measured times agree with reports, from 0 to 1.
    belief: f32,
    is_implausible: bool,
}

impl Default for Moment {
    fn default() -> Self {
        Self {
            at: Millis::ZERO,
            factor: 1.0,
            belief: 1.0,
            is_implausible: false,
        }
    }
}

impl Moment {
    /// Records a report, in hundredths; `None` if the replica gave none. Returns whether it is the first implausible one.
    pub fn record(&mut self, now: Millis, hundredths: Option<u32>) -> bool {
        let reported = f64::from(hundredths.unwrap_or(100)) / 100.0;
        // A figure of zero says nothing.
        let factor = if reported == 0.0 { 1.0 } else { reported };
        self.at = now;
        self.factor = factor.clamp(BOUNDS.0, BOUNDS.1);
        let is_implausible = reported < BOUNDS.0 || reported > BOUNDS.1;
        is_implausible && !std::mem::replace(&mut self.is_implausible, true)
    }

    /// Time that work took at the last report, as a multiple of the usual time, whether it is believed or not.
    pub fn reported(&self, now: Millis) -> f64 {
        Self { belief: 1.0, ..*self }.factor(now)
    }

    /// Time that work takes now, as a multiple of the usual time. The older the report, the closer to 1.
    pub fn factor(&self, now: Millis) -> f64 {
        if self.belief < MIN_BELIEF {
            return 1.0;
        }
        let age = now.since(self.at).0 as f64;
        if age > MAX_AGE_MS {
            return 1.0;
        }
        let weight = (-age / HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        (self.factor - 1.0).mul_add(weight, 1.0)
    }

    /// Compares the factor in force at a sample with the sample, both as multiples of the replica's usual time. Returns whether
    /// the reports have just come to be ignored.
    pub fn check(&mut self, reported: f64, measured: f64) -> bool {
        if (reported - 1.0).abs() < TELLING {
            return false;
        }
        // The measured time is nearer to the reported one or to the usual one.
        let middle = reported.sqrt();
        let agrees = (measured > middle) == (reported > 1.0);
        let was_believed = self.belief >= MIN_BELIEF;
        let target = if agrees { 1.0 } else { 0.0 };
        self.belief += BELIEF_WEIGHT * (target - self.belief);
        was_believed && self.belief < MIN_BELIEF
    }
}
