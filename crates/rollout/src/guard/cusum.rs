//! Change detection for a version with hardly any concurrent control traffic left.

use crate::Signal;

/// Sum in nats at which the detector raises an alarm, so that the old version gets traffic for a comparison.
const ALARM_THRESHOLD: f64 = 4.0;

/// A cumulative-sum (CUSUM) detector for an increase in the rate of a signal.
///
/// It compares with past rates, so a general slowdown raises an alarm as well. An alarm therefore only starts
/// a concurrent comparison and never vetoes a version by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cusum {
    sum: f64,
}

impl Cusum {
    /// Adds a request. `has_signal` tells whether it had the signal, whose normal rate is `baseline_rate`.
    pub fn observe(&mut self, has_signal: bool, baseline_rate: f64, signal: Signal) {
        let floor = match signal {
            Signal::Failed => 0.01,
            Signal::Slow => 0.15,
            Signal::Hung => 0.005,
        };
        let accepted_rate = (1.5 * baseline_rate).clamp(floor, 0.6);
        let alarm_rate = (4.0 * accepted_rate).min(0.5 + accepted_rate / 2.0);
        let step = if has_signal {
            (alarm_rate / accepted_rate).ln()
        } else {
            ((1.0 - alarm_rate) / (1.0 - accepted_rate)).ln()
        };
        self.sum = (self.sum + step).max(0.0);
    }

    /// Whether the rate of the signal has increased.
    pub fn is_alarmed(&self) -> bool {
        self.sum >= ALARM_THRESHOLD
    }
}
