//! Rollout orders from operators, and the progress reported to them.

use std::sync::Arc;

use base::Millis;

/// An operator's order to move an endpoint to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// Time within which the rollout should complete, counted from the order.
    pub within: Millis,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Traffic is being moved.
    Running,
    /// All traffic goes to the new version; the old replicas may stop.
    Done,
    /// All traffic goes to the old version; the new replicas may stop.
    Undone,
}

impl RolloutState {
    /// Label in logs and records.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Done => "done",
            Self::Undone => "undone",
        }
    }
}

/// Progress of a rollout, as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// State of the rollout.
    pub state: RolloutState,
}
