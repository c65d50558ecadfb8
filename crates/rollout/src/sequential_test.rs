//! Sequential test that may be checked after every request.

use crate::Ratio;
use crate::ratio::ALTERNATIVES;

/// The test restarts when the evidence falls to this value, the natural logarithm of 1/20. Otherwise a
/// version that becomes bad late would be protected by its good past.
const RESTART_BELOW: f64 = -3.0;

/// A mixture sequential probability ratio test with restarts.
///
/// The `k`-th run of the test may spend `1 / (k (k + 1))` of the error rate. These parts sum to one, so the
/// bound holds over all restarts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SequentialTest {
    offset: Ratio,
    restarts: u32,
}

impl SequentialTest {
    /// Evidence against the new version in nats, corrected for restarts. A value above `ln(1 / a)` rejects
    /// the version at error rate `a`.
    pub fn evidence(&self, ratio: &Ratio) -> f64 {
        let run = f64::from(self.restarts) + 1.0;
        self.mixture(ratio) - (run * (run + 1.0)).ln()
    }

    /// Restarts the test if the evidence favors the new version, and returns whether it did.
    pub fn restart(&mut self, ratio: &Ratio) -> bool {
        if self.mixture(ratio) > RESTART_BELOW {
            return false;
        }
        self.offset = *ratio;
        self.restarts += 1;
        true
    }

    /// Logarithm of the mean likelihood ratio since the last restart.
    fn mixture(&self, ratio: &Ratio) -> f64 {
        let mut since = *ratio;
        since.subtract(&self.offset);
        let highest = since.log_ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = since.log_ratios.iter().map(|log| (log - highest).exp()).sum();
        highest + (sum / ALTERNATIVES.len() as f64).ln()
    }
}
