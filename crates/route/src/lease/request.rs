//! A node's request for a share.

use serde::{Deserialize, Serialize};

/// What a node tells the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of this request, growing in one incarnation of the node. No grant to an earlier one will be taken.
    pub number: u64,
    /// Requests that the node may have in flight: its lease, or more while a larger one drains.
    pub holds: u32,
    /// Requests that the node has in flight or waiting.
    pub demand: u32,
}
