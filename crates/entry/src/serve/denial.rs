//! Why a request is not sent to another replica.

/// Why a request that failed at one replica is not sent to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// Too little time is left.
    Deadline,
    /// It was sent to too many replicas, including those that did not run it.
    Dispatches,
    /// It may have run on as many replicas as its route allows.
    Attempts,
    /// The endpoint's retry budget is used up.
    Budget,
}

impl Denial {
    /// Label for logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may_have_run",
            Self::Deadline => "deadline",
            Self::Dispatches => "dispatches",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
        }
    }
}
