//! Replicas that take few requests for some time after their start.

use base::Millis;

/// How long the replicas of an endpoint are cold, and what they take then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Time from a replica's start for which it is cold.
    pub start: Millis,
    /// Requests per second that a cold replica takes from all nodes combined.
    pub rate: f64,
}
