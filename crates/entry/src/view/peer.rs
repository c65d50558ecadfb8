//! Registrations of the nodes.

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
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for datagrams from other nodes.
    pub peer_address: SocketAddr,
    /// Whether callers should use the node.
    pub ready: bool,
    /// Its share of a core, in thousandths.
    #[serde(default)]
    pub capacity: u32,
    /// Number by which the nodes know the lease that the registration is bound to.
    pub lease: u64,
}

/// Registered nodes by incarnation.
pub type Peers = IndexMap<Incarnation, Peer>;
