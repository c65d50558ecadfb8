//! Whether a request may be sent to another replica.

use base::Millis;

use crate::{Assessment, DispatchError};

/// Maximum number of dispatches of a request that found a connection, including those that did not run it.
const MAX_DISPATCHES: usize = 4;
/// Maximum number of dispatches that found none.
const MAX_UNCONNECTED: usize = 64;
/// Maximum number of nodes that decline to send a request on.
const MAX_DECLINES: usize = 12;
/// Minimum time left for another dispatch.
const MIN_TIME_LEFT: Millis = Millis(15);

/// Why a request is not sent to another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// Too little time is left.
    Deadline,
    /// It was sent to too many replicas, including those that did not run it.
    Dispatches,
    /// Too many replicas could not be connected to.
    Unconnected,
    /// Too many nodes declined to send it on.
    Declines,
    /// It may have run on as many replicas as its route allows.
    Runs,
    /// The endpoint's retry budget is used up.
    Budget,
    /// Its prompt has crashed replicas, as far as is known.
    Poison,
}

impl Denial {
    /// Returns the label for logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may_have_run",
            Self::Deadline => "deadline",
            Self::Dispatches => "dispatches",
            Self::Unconnected => "unconnected",
            Self::Declines => "declines",
            Self::Runs => "runs",
            Self::Budget => "budget",
            Self::Poison => "poison",
        }
    }
}

/// The dispatches of a request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Number of dispatches, including those that did not run the request.
    pub dispatches: usize,
    /// Number of these that found no connection, so that no replica was sent the request.
    pub unconnected: usize,
    /// Number of nodes that declined to send the request on, which are no dispatches.
    pub declines: usize,
    /// Number of replicas that may have run the request and will not answer any more.
    pub possible_runs: u32,
    /// Number of replicas that have the request and may still answer.
    pub in_flight: u32,
    /// Maximum number of replicas that may run the request.
    pub max_runs: u32,
    /// Time until the deadline.
    pub time_left: Millis,
}

impl Attempts {
    /// Returns whether too little time is left to send the request.
    pub const fn is_too_late(&self) -> bool {
        self.time_left.0 <= MIN_TIME_LEFT.0
    }

    /// Returns why the request may not be sent to another replica after a failed dispatch, which is counted; `None` if it
    /// may.
    ///
    /// Load pattern: most entries of an endpoint name addresses where nothing listens, and the node has just started. Refused
    /// connections cost little and no replica notices them, so many are tried before the request is refused.
    pub const fn denial_after(&self, assessment: Assessment) -> Option<Denial> {
        if !assessment.may_retry {
            Some(Denial::MayHaveRun)
        } else if self.is_too_late() {
            Some(Denial::Deadline)
        } else if self.dispatches.saturating_sub(self.unconnected) >= MAX_DISPATCHES {
            Some(Denial::Dispatches)
        } else if self.unconnected >= MAX_UNCONNECTED {
            Some(Denial::Unconnected)
        } else if self.declines >= MAX_DECLINES {
            Some(Denial::Declines)
        } else if self.possible_runs + self.in_flight >= self.max_runs {
            Some(Denial::Runs)
        } else {
            None
        }
    }

    /// Returns why no other replica may be tried beside those that have the request and are silent; `None` if one may.
    ///
    /// Load pattern: a replica stops for a second or so, with all requests that it runs, and goes on. Giving it up is right
    /// only if another one takes the request: the retries of an endpoint are few, and all these requests want one at once.
    /// So the request stays, and another replica is tried beside it.
    pub const fn denial_during_silence(&self) -> Option<Denial> {
        self.denial_after(DispatchError::Lost.assess(self.is_idempotent))
    }
}
