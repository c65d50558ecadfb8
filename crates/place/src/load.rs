//! What a replica says of its load.

use serde::{Deserialize, Serialize};

/// Load as a replica reported it with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// One node's requests at a replica, as it tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Hash of the replica's id.
    pub replica: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Tokens of prompts that the replica has yet to read.
    pub unread_tokens: u64,
}

/// What another node told.
#[derive(Clone, Copy, Debug)]
pub struct PeerReport<'a> {
    /// The node.
    pub node: u64,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its requests at replicas.
    pub loads: &'a [PeerLoad],
    /// Hashes of the ids of replicas that it can't reach.
    pub unreachable: &'a [u64],
}
