//! Load report of a replica.

use base::Millis;

/// Load that a replica measured some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the replica.
    pub queued: u32,
    /// Age of the report on arrival.
    pub age: Millis,
}
