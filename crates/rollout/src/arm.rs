//! The two versions that a rollout compares.

use serde::{Deserialize, Serialize};

/// Which of a rollout's two versions a request was assigned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// The version that served before the rollout (the control arm).
    Old,
    /// The version being rolled out (the treatment arm).
    New,
}
