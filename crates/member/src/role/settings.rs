//! Periods and bounds of a role.

use base::Millis;

/// Periods and bounds of a [`Role`](crate::Role).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Taken off the lease's end: no order leaves later. Covers drift of the clock and the order's way.
    pub margin: Millis,
    /// Time between two reads of the record.
    pub poll: Millis,
    /// Wait before an attempt, for each better ranked candidate.
    pub stagger: Millis,
    /// A call without answer for this long counts as lost.
    pub answer_timeout: Millis,
    /// First wait after a failure; doubled at each further one.
    pub backoff: Millis,
    /// Longest wait after a failure.
    pub max_backoff: Millis,
    /// Candidates of this rank and above take no part.
    pub candidates: usize,
    /// Wait of a holder before its first order if its predecessor's lease lapsed; set where endpoints ignore fencing.
    pub wait_after_expiry: Millis,
    /// Wait of a holder before its first order if its predecessor released the role.
    pub wait_after_release: Millis,
}

impl Settings {
    /// The standard settings, for endpoints that check fencing.
    pub const fn new() -> Self {
        Self {
            margin: Millis(2_000),
            poll: Millis(5_000),
            stagger: Millis(1_000),
            answer_timeout: Millis(5_000),
            backoff: Millis(250),
            max_backoff: Millis(10_000),
            candidates: 3,
            wait_after_expiry: Millis::ZERO,
            wait_after_release: Millis::ZERO,
        }
    }

    /// For endpoints that ignore fencing: a new holder waits out a whole lease and the longest order in flight.
    pub fn without_fencing(mut self, lease: Millis, max_order_duration: Millis) -> Self {
        self.wait_after_expiry = lease + max_order_duration;
        self.wait_after_release = max_order_duration;
        self
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}
