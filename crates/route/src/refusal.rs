//! Refusals of requests: the reason, and whether the request may have run.

use std::fmt;

use base::{Millis, Outcome};

/// Reason of a refusal. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The endpoint is not in the catalogue or was removed from it.
    NoEndpoint,
    /// The workspace is not in the catalogue or was removed from it.
    NoWorkspace,
    /// The endpoint has no replica that accepts new requests.
    NoReplica,
    /// The endpoint's queue is full for this workspace.
    Overloaded,
    /// The response would not start before the deadline.
    DeadlineUnmet,
    /// The workspace has reached its share of the limit on this node.
    WorkspaceLimit,
    /// The retry budget of the endpoint or the workspace is exhausted.
    RetryBudget,
    /// The request was dispatched as often as the endpoint allows.
    AttemptsExhausted,
    /// The request may have run and is not idempotent.
    MayHaveRun,
}

impl Reason {
    /// All reasons, to register the counters.
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

    /// Returns the counter label, which is also the problem type in the response.
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

/// A refusal to send to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// `NotRun`, or `Unknown` if any dispatch may have run.
    pub outcome: Outcome,
    /// Suggested delay before a retry; `None` if a retry is not worthwhile.
    pub retry_after: Option<Millis>,
}
