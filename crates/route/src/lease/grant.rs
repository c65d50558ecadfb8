//! Grant of a lease.

use base::Millis;
use serde::{Deserialize, Serialize};

/// The allocator's response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Term of the allocator's role. Higher terms supersede lower ones.
    pub term: u64,
    /// Number of the request that this grant responds to.
    pub number: u64,
    /// Requests that the node may have in flight.
    pub amount: u32,
    /// Duration of the lease from the time of the request.
    pub span: Millis,
    /// Whether the grant only renews what the node claims to hold. It is valid only if the node still holds that much.
    pub renews: bool,
}
