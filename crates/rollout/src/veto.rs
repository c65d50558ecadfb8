//! Vetoes against bad versions.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{Evidence, Id};

/// A veto against the new version of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Veto {
    /// Id of the rollout.
    pub rollout: Id,
    /// Endpoint of the rollout.
    pub endpoint: Name,
    /// Version that is vetoed.
    pub version: Name,
    /// Route on which the evidence was found; `None` if it concerns the whole endpoint.
    pub route: Option<Name>,
    /// Grounds of the veto.
    pub evidence: Evidence,
}
