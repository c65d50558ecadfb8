//! A record of the store, decoded.

use std::sync::Arc;

use place::Spec;
use table::Table;

use crate::edge::RolloutOrder;

/// What a record of the store holds.
#[derive(Clone, Debug)]
pub enum StoredRecord {
    /// The newest configuration.
    Table(Arc<Table>),
    /// A replica's registration.
    Replica(Spec),
    /// A replica's registration that can't be used; the replica takes no requests.
    InvalidReplica {
        /// Id of the replica.
        id: Arc<str>,
        /// What is wrong with it.
        cause: String,
    },
    /// An operator's order to move an endpoint to another version.
    RolloutOrder(RolloutOrder),
    /// A record of the nodes' own; the rest of its key.
    Internal(String),
    /// A record that can't be decoded.
    Invalid(String),
    /// A record that means nothing to a node.
    Other,
}
