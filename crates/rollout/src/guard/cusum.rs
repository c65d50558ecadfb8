//! Suspicion against a version that has no concurrent control left.

use crate::Signal;

/// Suspicion in nats at which the old version is given traffic again, to compare with.
const ALARM_THRESHOLD: f64 = 4.0;

/// A cumulative-sum detector of a signal that has become frequent.
///
/// It compares with the past, so a general slowdown sets it off as well; it only leads to a comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cusum {
    sum: f64,
}

impl Cusum {
    /// Takes a request in that did or didn't show the signal, whose usual rate is `baseline_rate`.
    pub fn observe(&mut self, shown: bool, baseline_rate: f64, signal: Signal) {
        let floor = match signal {
            Signal::Failed => 0.01,
            Signal::Slow => 0.15,
            Signal::Hung => 0.005,
        };
        let accepted_rate = (1.5 * baseline_rate).clamp(floor, 0.6);
        let alarm_rate = (4.0 * accepted_rate).min(0.5 + accepted_rate / 2.0);
        let step = if shown {
            (alarm_rate / accepted_rate).ln()
        } else {
            ((1.0 - alarm_rate) / (1.0 - accepted_rate)).ln()
        };
        self.sum = (self.sum + step).max(0.0);
    }

    /// Whether the signal has become frequent.
    pub fn is_alarmed(&self) -> bool {
        self.sum >= ALARM_THRESHOLD
    }
}
