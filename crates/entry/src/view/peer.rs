//! Nodes as they registered themselves.

use std::net::SocketAddr;

use base::Incarnation;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A node's registration, bound to its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the node.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// Whether callers should use it.
    pub ready: bool,
    /// The lease that the registration is bound to.
    pub lease: u64,
}

/// Nodes by incarnation.
pub type Peers = IndexMap<Incarnation, Peer>;
