//! Intervals and limits of [`Role`](crate::Role).

use base::Millis;

/// Intervals and limits of a [`Role`](crate::Role).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// No order is sent within this time before the lease expires. Covers clock drift and the order's transit.
    pub margin: Millis,
    /// Interval between reads of the record.
    pub poll: Millis,
    /// Delay of an attempt to acquire the role, per higher-ranked candidate.
    pub stagger: Millis,
    /// Time after which a call counts as unanswered.
    pub answer_timeout: Millis,
    /// Initial wait after a failed read, doubled after each further failure.
    pub backoff: Millis,
    /// Maximum wait after a failed read.
    pub max_backoff: Millis,
    /// Number of top-ranked candidates that attempt to acquire the role.
    pub candidates: usize,
    /// Wait of a new holder before its first order if its predecessor's lease expired. Needed where endpoints ignore
    /// fencing.
    pub wait_after_expiry: Millis,
    /// Wait of a new holder before its first order if its predecessor released the role.
    pub wait_after_release: Millis,
}

impl Settings {
    /// Returns the default settings, for endpoints that check fencing tokens.
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

    /// Adapts the settings for endpoints that ignore fencing tokens: a new holder waits for a full lease and for the
    /// longest order that may be in flight.
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
