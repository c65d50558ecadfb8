//! Where a rollout stands, and how it ended.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::Veto;

/// Where a rollout stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Traffic is moving to the new version.
    Moving,
    /// All traffic has moved; the new version is watched and the old one kept.
    Watching,
    /// Moved for good; the old version may go.
    Done,
    /// Taken back; the old version serves.
    Undone,
}

impl Stage {
    /// Whether the rollout still runs.
    pub const fn is_running(self) -> bool {
        matches!(self, Self::Moving | Self::Watching)
    }
}

/// Why a rollout ended as it did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The version was watched at full share and nothing spoke against it.
    Moved {
        /// Routes with too little traffic to compare the versions; they moved in capped steps.
        thin: Vec<Name>,
    },
    /// The version was found bad.
    Vetoed(Box<Veto>),
    /// The evidence on this route still spoke against the version, without being sufficient, when the time
    /// allowed and the watch had both passed.
    Doubtful(Name),
    /// An operator took it back.
    Operator(Name),
}

/// The end of a rollout, as told to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The new version serves.
    Done(Reason),
    /// The old version serves.
    Undone(Reason),
}
