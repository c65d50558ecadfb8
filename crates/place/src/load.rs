//! Load of replicas, as they and other nodes report it.

use serde::{Deserialize, Serialize};

/// Load that a replica reported with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// How long work takes at the moment, in hundredths of the usual time; `None` if the replica does not say.
    pub pace: Option<u32>,
}

/// Load that one node puts on a replica, as it reports to the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Hash of the replica's id; see [`crate::hash`].
    pub replica: u64,
    /// Requests of the node in flight.
    pub in_flight: u32,
    /// Prompt tokens of the node that the replica has not processed yet.
    pub unread_tokens: u64,
}

/// Report of another node on the replicas of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PeerReport<'a> {
    /// The reporting node.
    pub node: u64,
    /// Availability zone of the reporting node.
    pub zone: &'a str,
    /// Load that the node puts on the replicas.
    pub loads: &'a [PeerLoad],
    /// Hashes of the ids of the replicas that the node can't connect to.
    pub unreachable: &'a [u64],
}
