//! Calls by kind.

use serde::{Deserialize, Serialize};

/// Calls met since the start; refused calls count too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one key.
    pub reads: u64,
    /// Reads of a page of keys.
    pub lists: u64,
    /// Writes of a key.
    pub writes: u64,
    /// Deletions of a key.
    pub deletes: u64,
    /// Leases asked for, renewed or given back.
    pub leases: u64,
    /// Watches; one a long poll.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
}
