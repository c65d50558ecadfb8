//! Nodes that datagrams arrived from.

use std::net::SocketAddr;

use base::{Incarnation, Millis};
use indexmap::IndexMap;

use super::PEER_TIMEOUT;

/// Addresses of the nodes that were heard from recently.
#[derive(Debug, Default)]
pub struct HeardNodes {
    nodes: IndexMap<Incarnation, (SocketAddr, Millis)>,
}

impl HeardNodes {
    /// Records a datagram of a node.
    pub fn record(&mut self, now: Millis, node: u64, address: SocketAddr) {
        self.nodes.insert(Incarnation(node), (address, now));
    }

    /// The nodes that were heard from within the timeout; forgets the others.
    pub fn fresh(&mut self, now: Millis) -> Vec<(Incarnation, SocketAddr)> {
        self.nodes.retain(|_, (_, at)| now.since(*at) < PEER_TIMEOUT);
        let nodes = self.nodes.iter();
        nodes.map(|(node, (address, _))| (*node, *address)).collect()
    }
}
