//! Counters of calls by kind.

use serde::{Deserialize, Serialize};

/// Calls received since the start, including refused calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one key.
    pub reads: u64,
    /// Reads of a page of records.
    pub lists: u64,
    /// Writes of a key.
    pub writes: u64,
    /// Deletions of a key.
    pub deletes: u64,
    /// Calls that grant, renew or revoke a lease.
    pub leases: u64,
    /// Watch calls; each long poll counts as one.
    pub watches: u64,
    /// Watches that are currently waiting.
    pub waiting: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
}
