//! State of a lease.

use base::Millis;

/// Lease that expires at its deadline.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Time to live from each renewal.
    pub ttl: Millis,
    /// Time at which the lease expires.
    pub deadline: Millis,
}
