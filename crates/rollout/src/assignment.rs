//! How one request was assigned.

use serde::{Deserialize, Serialize};

use crate::{Arm, Id, Share};

/// A request's assignment to an arm; the guard needs it as it was when the request was sent.
///
/// NB: `share` is the probability that the draw gave [`Arm::New`]. An attempt whose version was not drawn
/// (a retry pinned to the old version, say) has no assignment and is no evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The rollout.
    pub rollout: Id,
    /// The arm drawn.
    pub arm: Arm,
    /// The new version's share at the draw.
    pub share: Share,
}
