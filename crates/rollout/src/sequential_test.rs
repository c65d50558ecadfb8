//! The decision on a ratio that is looked at continuously.

use crate::Ratio;
use crate::ratio::ALTERNATIVES;

/// The test starts anew when the evidence has fallen to this (natural logarithm of 1/20), so that a version
/// that goes bad late is not protected by its good past.
const RESTART_BELOW: f64 = -3.0;

/// A sequential test with restarts.
///
/// The `k`-th run of the test may spend `1 / (k (k + 1))` of the error rate, which sums to one, so the bound
/// holds over all restarts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SequentialTest {
    offset: Ratio,
    restarts: u32,
}

impl SequentialTest {
    /// Evidence in nats against the version, net of what restarts have spent. Above `ln(1 / a)` it rejects at
    /// error rate `a`.
    pub fn evidence(&self, ratio: &Ratio) -> f64 {
        let run = f64::from(self.restarts) + 1.0;
        self.mixture(ratio) - (run * (run + 1.0)).ln()
    }

    /// Starts anew if the evidence speaks for the version; whether it did.
    pub fn restart(&mut self, ratio: &Ratio) -> bool {
        if self.mixture(ratio) > RESTART_BELOW {
            return false;
        }
        self.offset = *ratio;
        self.restarts += 1;
        true
    }

    /// Logarithm of the mean of the ratios since the last restart.
    fn mixture(&self, ratio: &Ratio) -> f64 {
        let mut since = *ratio;
        since.subtract(&self.offset);
        let highest = since.log_ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = since.log_ratios.iter().map(|log| (log - highest).exp()).sum();
        highest + (sum / ALTERNATIVES.len() as f64).ln()
    }
}
