//! Request for a lease.

use serde::{Deserialize, Serialize};

/// A node's request to the allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of this request, which increases within an incarnation of the node. The node accepts no grants for
    /// earlier requests.
    pub number: u64,
    /// Requests that the node may have in flight: its lease, or more while requests of a larger lease drain.
    pub holds: u32,
    /// Requests that the node has in flight or queued.
    pub demand: u32,
}
