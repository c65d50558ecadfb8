//! A replica's own report of its load.

use base::Millis;

/// Load as the replica saw it some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests running.
    pub running: u32,
    /// Requests waiting at the replica.
    pub queued: u32,
    /// Age of the report when it came in.
    pub age: Millis,
}
