//! Suspicion against a version that has no concurrent control left.

use crate::Signal;

/// Suspicion in nats at which the old version is given traffic again, to compare with.
const SUSPECT_AT: f64 = 4.0;

/// A cumulative-sum detector of a signal that has become frequent.
///
/// It compares with the past, so a general slowdown sets it off as well; it only leads to a comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shift {
    sum: f64,
}

impl Shift {
    /// Takes a request in that did or didn't show the signal, whose usual rate is `usual`.
    pub fn observe(&mut self, shown: bool, usual: f64, signal: Signal) {
        let floor = match signal {
            Signal::Failed => 0.01,
            Signal::Slow => 0.15,
            Signal::Hung => 0.005,
        };
        let before = (1.5 * usual).clamp(floor, 0.6);
        let after = (4.0 * before).min(0.5 + before / 2.0);
        let step = if shown {
            (after / before).ln()
        } else {
            ((1.0 - after) / (1.0 - before)).ln()
        };
        self.sum = (self.sum + step).max(0.0);
    }

    /// Whether the signal has become frequent.
    pub fn suspects(&self) -> bool {
        self.sum >= SUSPECT_AT
    }
}
