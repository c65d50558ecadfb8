//! Final answers to calls.

use std::sync::Arc;

use base::Outcome;

use crate::{Reason, Record};

/// Final answer to a call: the recorded response of the endpoint, or the reason why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Response of the endpoint to the only run of this key.
    Recorded(Arc<Record>),
    /// No response; [`Reason::outcome`] tells whether the request may have run.
    Refused(Reason),
}

impl Answer {
    /// Outcome that is reported to the caller.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Recorded(_) => Outcome::Answered,
            Self::Refused(reason) => reason.outcome(),
        }
    }
}
