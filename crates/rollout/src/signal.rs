//! Ways in which a request can speak against a version.

use serde::{Deserialize, Serialize};

/// What is counted and compared between the versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Signal {
    /// The request failed.
    Failed,
    /// It took longer than the old version's 90th percentile.
    Slow,
    /// It took, or has taken so far, far longer than the old version ever does.
    Hung,
}

impl Signal {
    /// Every signal.
    pub const ALL: [Self; 3] = [Self::Failed, Self::Slow, Self::Hung];
}
