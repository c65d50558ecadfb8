//! The view of one node.

use std::sync::Arc;

use base::Millis;
use bytes::Bytes;
use indexmap::IndexMap;
use table::Table;

use super::{Freshness, Peers, Rollouts};

/// A record of the nodes' own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InternalRecord {
    /// Its value.
    pub value: Bytes,
    /// Its revision.
    pub revision: u64,
}

/// What a node believes, as the store told it.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub table: Option<Arc<Table>>,
    /// How old the view is.
    pub freshness: Freshness,
    /// Live nodes, this one included once it is registered.
    pub peers: Peers,
    /// Moves of endpoints to other versions.
    pub rollouts: Rollouts,
    /// Records of the nodes' own by the rest of their keys.
    pub internal: IndexMap<String, InternalRecord>,
    /// When the node's last call to the store failed.
    pub store_lost: Option<Millis>,
}

impl View {
    /// Nodes that share limits, at least this one.
    pub fn nodes(&self) -> usize {
        self.peers.len().max(1)
    }
}
