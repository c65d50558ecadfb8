//! Why a request is refused, and what the caller may conclude.

use std::fmt;

use base::{Millis, Outcome};

/// Reason of a refusal; one counter each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The endpoint is not in the catalogue, or was taken out.
    NoEndpoint,
    /// The workspace is not in the catalogue, or was taken out.
    NoWorkspace,
    /// The endpoint has no replica that takes new work.
    NoReplica,
    /// The endpoint's queue has no room for this workspace.
    Overloaded,
    /// The answer would not begin before the deadline.
    DeadlineUnmet,
    /// The workspace is at its limit on this node.
    WorkspaceLimit,
    /// The endpoint's or the workspace's retry budget is spent.
    RetryBudget,
    /// The request was sent as often as the endpoint allows.
    AttemptsExhausted,
    /// The request may have run and is not idempotent.
    MayHaveRun,
}

impl Reason {
    /// Every reason, for counters.
    pub const ALL: [Self; 9] = [
        Self::NoEndpoint,
        Self::NoWorkspace,
        Self::NoReplica,
        Self::Overloaded,
        Self::DeadlineUnmet,
        Self::WorkspaceLimit,
        Self::RetryBudget,
        Self::AttemptsExhausted,
        Self::MayHaveRun,
    ];

    /// The counter's label and the problem's type.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no-endpoint",
            Self::NoWorkspace => "no-workspace",
            Self::NoReplica => "no-replica",
            Self::Overloaded => "overloaded",
            Self::DeadlineUnmet => "deadline-unmet",
            Self::WorkspaceLimit => "workspace-limit",
            Self::RetryBudget => "retry-budget",
            Self::AttemptsExhausted => "attempts",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal to state to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// `NotRun`, or `Unknown` if any dispatch may have run.
    pub outcome: Outcome,
    /// When it is worth asking again; none when it never is.
    pub retry_after: Option<Millis>,
}
