//! Stages and outcomes of a rollout.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::Veto;

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Traffic is moving to the new version.
    Moving,
    /// All traffic has moved; the new version is watched and the old one kept.
    Watching,
    /// The new version serves; the old one is no longer needed.
    Done,
    /// The rollout was rolled back; the old version serves.
    Undone,
}

impl Stage {
    /// Whether the rollout is still running.
    pub const fn is_running(self) -> bool {
        matches!(self, Self::Moving | Self::Watching)
    }
}

/// Why a rollout ended with its verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The watch at full share ended without evidence against the new version.
    Moved {
        /// Routes with too little traffic to compare the versions; their share was raised in limited steps.
        thin: Vec<Name>,
    },
    /// The new version was vetoed.
    Vetoed(Box<Veto>),
    /// The evidence on this route was still against the new version, though not sufficient for a veto, after
    /// the deadline and the watch had both passed.
    Doubtful(Name),
    /// An operator undid the rollout.
    Operator(Name),
}

/// Outcome of a rollout, as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The new version serves.
    Done(Reason),
    /// The old version serves.
    Undone(Reason),
}
