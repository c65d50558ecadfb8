//! The view and the internal records in it.

use std::sync::Arc;

use base::Revision;
use bytes::Bytes;
use indexmap::IndexMap;
use table::Table;

use super::{Freshness, Peers, Rollouts};
use crate::publish::Summary;

/// An internal record of the nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InternalRecord {
    /// Its value.
    pub value: Bytes,
    /// Its revision. Of an earlier era if the record is missing since the store was restored.
    pub revision: Revision,
}

/// A node's view of the store.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub table: Option<Arc<Table>>,
    /// When the view was last confirmed.
    pub freshness: Freshness,
    /// Live nodes, including this one once it is registered.
    pub peers: Peers,
    /// Rollouts of endpoints.
    pub rollouts: Rollouts,
    /// The nodes' internal records, by key without the prefix.
    pub internal: IndexMap<String, InternalRecord>,
    /// Published reports, by the incarnation of the node that wrote them, as text.
    pub summaries: IndexMap<String, Arc<Summary>>,
}

impl View {
    /// Number of nodes that share the limits, at least 1 for this node.
    pub fn nodes(&self) -> usize {
        self.peers.len().max(1)
    }
}
