//! Random assignment of a request to a version.

use serde::{Deserialize, Serialize};

use crate::{Arm, Id, Share};

/// Assignment of a request to an arm, as drawn when the request was sent. The guard weighs evidence by it.
///
/// NB: `share` is the probability with which the draw gave [`Arm::New`]. An attempt whose version was not
/// drawn at random, such as a retry pinned to the old version, has no assignment and must not count as
/// evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Rollout that the draw belongs to.
    pub rollout: Id,
    /// Arm that was drawn.
    pub arm: Arm,
    /// Share of the new version at the time of the draw.
    pub share: Share,
}
