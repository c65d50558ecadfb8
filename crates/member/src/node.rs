//! The registration of one node.

use std::net::SocketAddr;

use base::{Incarnation, Name};
use serde::{Deserialize, Serialize};

/// What a node says of itself: the body of its registration in the key-value service and of its item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The node's name; it stays the same when the process restarts on the same VM.
    pub name: Name,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Order of the incarnations of one name: one above the highest that the platform or a peer knows.
    pub epoch: u64,
    /// Where peers connect.
    pub peer: SocketAddr,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// The availability zone.
    pub zone: Name,
    /// The region.
    pub region: Name,
}

impl Node {
    /// Whether this registration ends that of `other`: the same name, later.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.name == other.name && (self.epoch, self.incarnation) > (other.epoch, other.incarnation)
    }
}

/// A node as the platform lists it.
///
/// NB: the record must outlive its lease, and be deleted only once the incarnation is gone. If records went with
/// their leases, a part of the fleet whose nodes were all replaced would not know of the part it is cut off from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The node.
    pub node: Node,
    /// Whether its lease has lapsed.
    #[serde(rename = "lapsed")]
    pub lease_expired: bool,
}

/// What is held of a node's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Its heartbeats arrive.
    Alive,
    /// It has said that it will stop; it finishes what it has.
    Leaving,
    /// Its heartbeats have stopped: unreachable, perhaps alive.
    Suspect,
    /// This incarnation will never act again. Irrevocable.
    Gone,
}
