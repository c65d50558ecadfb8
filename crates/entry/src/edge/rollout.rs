//! Moves of an endpoint to another version, as operators order them and are told of them.

use std::sync::Arc;

use base::Millis;

/// An operator's order to move an endpoint to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// Time from the order within which it should be done.
    pub within: Millis,
}

/// How a move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Traffic is being moved.
    Running,
    /// All traffic goes to the new version; the old replicas may stop.
    Done,
    /// All traffic goes to the old version; the new replicas may stop.
    RolledBack,
}

impl RolloutState {
    /// Label in logs and records.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Done => "done",
            Self::RolledBack => "undone",
        }
    }
}

/// What the operators are told of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// How it stands.
    pub state: RolloutState,
}
