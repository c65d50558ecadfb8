//! Likelihood ratios for the sequential test.
//!
//! Each request is assigned to the new version at random with a known share `s`. Whatever affects both
//! versions equally, a request with a signal was then assigned to the new version with probability
//! `r s / (r s + 1 - s)`, where `r` is the relative risk: how many times likelier the signal is on the new
//! version. The test therefore looks only at requests with the signal, and the rate of the signal may change
//! at any time. As long as `r` is at most the tolerated relative risk, the expected factor of each step is at
//! most one, so the ratio is a nonnegative supermartingale. By Ville's inequality it ever exceeds `1 / a`
//! with probability at most `a`, however often it is checked.

use serde::{Deserialize, Serialize};

use crate::{Arm, Share};

/// Largest relative risk of a signal at which the new version still counts as good.
pub const TOLERATED: f64 = 1.5;

/// Relative risk under each alternative hypothesis.
pub const ALTERNATIVES: [f64; 3] = [4.0, 20.0, 200.0];

/// Log-likelihood ratios of one signal, one for each alternative.
///
/// Sums are kept in double precision and serialized in single precision, which is enough for a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Compact", into = "Compact")]
pub struct Ratio {
    /// Sums since the start of the rollout, in nats, in the order of [`ALTERNATIVES`].
    pub log_ratios: [f64; ALTERNATIVES.len()],
}

/// Serialized form of a [`Ratio`].
#[derive(Serialize, Deserialize)]
struct Compact([f32; ALTERNATIVES.len()]);

impl From<Ratio> for Compact {
    fn from(ratio: Ratio) -> Self {
        Self(ratio.log_ratios.map(|log| log as f32))
    }
}

impl From<Compact> for Ratio {
    fn from(compact: Compact) -> Self {
        Self {
            log_ratios: compact.0.map(f64::from),
        }
    }
}

impl Ratio {
    /// Adds a request with the signal, assigned to `arm` while the new version had `share` of the traffic.
    pub fn observe(&mut self, arm: Arm, share: Share) {
        if share == Share::ZERO || share == Share::FULL {
            return;
        }
        let tolerated = probability(TOLERATED, share);
        for (log_ratio, relative_risk) in self.log_ratios.iter_mut().zip(ALTERNATIVES) {
            let alternative = probability(relative_risk, share);
            let factor = match arm {
                Arm::New => alternative / tolerated,
                Arm::Old => (1.0 - alternative) / (1.0 - tolerated),
            };
            *log_ratio += factor.ln();
        }
    }

    /// Adds independent evidence.
    pub fn add(&mut self, other: &Self) {
        for (log_ratio, more) in self.log_ratios.iter_mut().zip(other.log_ratios) {
            *log_ratio += more;
        }
    }

    /// Subtracts evidence that was added before.
    pub fn subtract(&mut self, other: &Self) {
        for (log_ratio, less) in self.log_ratios.iter_mut().zip(other.log_ratios) {
            *log_ratio -= less;
        }
    }
}

/// Probability that a request with the signal was assigned to the new version.
fn probability(relative_risk: f64, share: Share) -> f64 {
    let new = relative_risk * share.fraction();
    new / (new + 1.0 - share.fraction())
}
