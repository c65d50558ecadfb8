//! A finding that a version is bad.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{Evidence, Id};

/// A veto against a version within one rollout.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Veto {
    /// The rollout.
    pub rollout: Id,
    /// The endpoint.
    pub endpoint: Name,
    /// The version vetoed.
    pub version: Name,
    /// The route on which it showed; none if it holds for the endpoint as a whole.
    pub route: Option<Name>,
    /// What it rests on.
    pub evidence: Evidence,
}
