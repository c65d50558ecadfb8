//! The sequential test.

use serde::{Deserialize, Serialize};

/// Logarithms of the likelihood ratios of a signal, one for each alternative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ratio {
    /// Sums since the start of the rollout, in nats.
    pub total: [f64; 3],
}
