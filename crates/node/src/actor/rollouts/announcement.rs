//! Announcements to all nodes, distributed by gossip.

use base::{Incarnation, Name};
use rollout::Shares;
use serde::{Deserialize, Serialize};

use crate::hash;

/// Node that controls an endpoint's rollouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Incarnation of the node.
    pub node: Incarnation,
    /// Fencing number of its term; later terms have higher numbers.
    pub fence: u64,
}

/// An announcement to all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Announcement {
    /// Traffic shares in force.
    Shares(Shares),
    /// Successor that took over a stopped node's idempotency keys.
    #[serde(rename = "Heir")]
    Successor {
        /// Incarnation that stopped.
        home: Incarnation,
        /// Incarnation that holds its keys now.
        #[serde(rename = "heir")]
        successor: Incarnation,
    },
    /// Controller of an endpoint.
    Holder {
        /// Name of the endpoint.
        endpoint: Name,
        /// Incarnation of the node.
        holder: Holder,
    },
}

impl Announcement {
    /// Id of the series to which this announcement belongs.
    pub fn id(&self) -> u64 {
        match self {
            Self::Shares(shares) => hash::stable(&format!("shares/{}", shares.endpoint)),
            Self::Successor { home, .. } => hash::stable(&format!("heir/{home}")),
            Self::Holder { endpoint, .. } => hash::stable(&format!("holder/{endpoint}")),
        }
    }

    /// Version within the series: the generation or fencing number, then the time, so that a repeated
    /// announcement counts as newer.
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
