//! Decoded records of the store.

use std::sync::Arc;

use place::Spec;
use table::Table;

use crate::edge::RolloutOrder;

/// Contents of a record.
#[derive(Clone, Debug)]
pub enum StoredRecord {
    /// The configuration.
    Table(Arc<Table>),
    /// A replica's registration.
    Replica(Spec),
    /// An invalid registration of a replica, which then receives no requests.
    InvalidReplica {
        /// Id of the replica.
        id: Arc<str>,
        /// Why it is invalid.
        cause: String,
    },
    /// An operator's order to roll out another version of an endpoint.
    RolloutOrder(RolloutOrder),
    /// A zone whose replicas are to receive no requests while the record exists.
    Evacuation(Arc<str>),
    /// An internal record of the nodes; holds the key without the prefix.
    Internal(String),
    /// A record that cannot be decoded; holds the cause.
    Invalid(String),
    /// A record that nodes do not use.
    Other,
}
