//! Node registrations and states.

use std::net::SocketAddr;

use base::{Incarnation, Name};
use serde::{Deserialize, Serialize};

/// A node's description of itself, stored as its registration in the key-value service and disseminated by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The node's name. It does not change when the process restarts on the same VM.
    pub name: Name,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Orders the incarnations of one name: one more than the highest epoch known to the platform or a peer.
    pub epoch: u64,
    /// The address on which the node accepts peers.
    pub peer: SocketAddr,
    /// The address on which the node accepts callers.
    pub caller: SocketAddr,
    /// The availability zone.
    pub zone: Name,
    /// The region.
    pub region: Name,
}

impl Node {
    /// Whether this is a later incarnation of the same name as `other`.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.name == other.name && (self.epoch, self.incarnation) > (other.epoch, other.incarnation)
    }
}

/// A node as listed by the platform.
///
/// The record must outlive its lease and be deleted only once the incarnation is gone. If records expired with their
/// leases, a partition whose nodes were all replaced would not know of the nodes in the other partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The node.
    pub node: Node,
    /// Whether the lease of the registration has expired.
    #[serde(rename = "lapsed")]
    pub lease_expired: bool,
}

/// The state of a node in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Heartbeats arrive.
    Alive,
    /// The node has announced that it will stop, and finishes its remaining work.
    Leaving,
    /// Heartbeats have stopped: the node is unreachable, but may still be alive.
    Suspect,
    /// The incarnation has ended permanently. This state is final.
    Gone,
}
