//! What a call is told.

use std::sync::Arc;

use base::Outcome;

use crate::{Reason, Record};

/// The end of a call: the recorded answer of the endpoint, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What the endpoint answered to the one run of this key.
    Recorded(Arc<Record>),
    /// No answer of the endpoint; the reason says whether the request may have run.
    Refused(Reason),
}

impl Answer {
    /// What the caller may conclude.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Recorded(_) => Outcome::Answered,
            Self::Refused(reason) => reason.outcome(),
        }
    }
}
