//! Signals of a bad version.

use serde::{Deserialize, Serialize};

/// An outcome of a request that is counted and compared between the versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Signal {
    /// The request failed.
    Failed,
    /// The request took longer than the 90th percentile of the old version.
    Slow,
    /// The request took, or has been running for, several times the longest latency of the old version.
    Hung,
}

impl Signal {
    /// All signals.
    pub const ALL: [Self; 3] = [Self::Failed, Self::Slow, Self::Hung];
}
