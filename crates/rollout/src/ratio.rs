//! Likelihood ratios of the sequential test.
//!
//! Each request is assigned to the new version at random with a known share `s`. Whatever happens to both
//! versions alike, a request that shows a signal was then assigned to the new one with probability
//! `r s / (r s + 1 - s)`, where `r` is how many times likelier the signal is on the new version. So only
//! requests that show the signal are looked at, and how often that happens may change at any time.
//! Against a tolerated `r` the ratio's expected factor is at most one: it is a nonnegative supermartingale,
//! and by Ville's inequality it ever exceeds `1 / a` with probability at most `a`, however often one looks.

use serde::{Deserialize, Serialize};

use crate::{Arm, Share};

/// How many times likelier than on the old version a signal may be on a version that counts as good.
pub const TOLERATED: f64 = 1.5;

/// How many times likelier the signal is under each alternative.
pub const ALTERNATIVES: [f64; 3] = [4.0, 20.0, 200.0];

/// Logarithms of the likelihood ratios of one signal, one for each alternative.
///
/// Serialized in single precision: sums are kept in double, and a report needs no more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Compact", into = "Compact")]
pub struct Ratio {
    /// Sums since the start of the rollout, in nats, in the order of [`ALTERNATIVES`].
    pub log_ratios: [f64; ALTERNATIVES.len()],
}

/// The serialized form of a [`Ratio`].
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
    /// Takes in a request that showed the signal, drawn for `arm` when the new version's share was `share`.
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

    /// Adds evidence that was gathered independently.
    pub fn add(&mut self, other: &Self) {
        for (log_ratio, more) in self.log_ratios.iter_mut().zip(other.log_ratios) {
            *log_ratio += more;
        }
    }

    /// Takes away evidence added before.
    pub fn subtract(&mut self, other: &Self) {
        for (log_ratio, less) in self.log_ratios.iter_mut().zip(other.log_ratios) {
            *log_ratio -= less;
        }
    }
}

/// Probability that a request with the signal was drawn for the new version.
fn probability(relative_risk: f64, share: Share) -> f64 {
    let new = relative_risk * share.fraction();
    new / (new + 1.0 - share.fraction())
}
