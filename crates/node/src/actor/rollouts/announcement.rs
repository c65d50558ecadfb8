//! What a controller tells all nodes, spread by gossip.

use base::{Incarnation, Name};
use rollout::Shares;
use serde::{Deserialize, Serialize};

use crate::hash;

/// Which node controls an endpoint's rollouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub node: Incarnation,
    /// Its fencing number; a higher one is later.
    pub fence: u64,
}

/// One announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Announcement {
    /// Shares in force.
    Shares(Shares),
    /// Who took a stopped node's idempotency keys over.
    #[serde(rename = "Heir")]
    Successor {
        /// The node that stopped.
        home: Incarnation,
        /// The node that has its keys.
        #[serde(rename = "heir")]
        successor: Incarnation,
    },
    /// Who controls an endpoint.
    Holder {
        /// The endpoint.
        endpoint: Name,
        /// The node.
        holder: Holder,
    },
}

impl Announcement {
    /// Identifies the series that this announcement is the latest of.
    pub fn id(&self) -> u64 {
        match self {
            Self::Shares(shares) => hash::stable(&format!("shares/{}", shares.endpoint)),
            Self::Successor { home, .. } => hash::stable(&format!("heir/{home}")),
            Self::Holder { endpoint, .. } => hash::stable(&format!("holder/{endpoint}")),
        }
    }

    /// Order within the series: by generation or fencing number, then by time, so that repeats are news.
    pub fn version(&self, wall_seconds: u64) -> u64 {
        const TIME_BITS: u32 = 32;
        let order = match self {
            Self::Shares(shares) => shares.generation,
            Self::Successor { .. } => 0,
            Self::Holder { holder, .. } => holder.fence,
        };
        (order << TIME_BITS) | (wall_seconds & u64::from(u32::MAX))
    }
}
