//! An endpoint's settings, from the catalogue.

use base::Millis;

/// Limits and policies of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Latest time of the answer's beginning that operators accept; limits of replicas adapt to it.
    pub latency_target: Millis,
    /// Most requests that wait on this node.
    pub max_queue: u32,
    /// Most dispatches of one request.
    pub max_attempts: u8,
    /// Retries allowed for each 100 first dispatches.
    pub retry_percent: u32,
    /// Whether replicas cache prompt prefixes, so that requests go where theirs is cached.
    pub affinity: bool,
}

impl Settings {
    /// The usual settings for this latency target.
    pub const fn new(latency_target: Millis) -> Self {
        Self {
            latency_target,
            max_queue: 256,
            max_attempts: 3,
            retry_percent: 10,
            affinity: false,
        }
    }

    /// Sets the most requests that wait on this node.
    pub const fn with_max_queue(mut self, requests: u32) -> Self {
        self.max_queue = requests;
        self
    }

    /// Sets the most dispatches of one request.
    pub const fn with_max_attempts(mut self, attempts: u8) -> Self {
        self.max_attempts = attempts;
        self
    }

    /// Sets the retries allowed for each 100 first dispatches.
    pub const fn with_retry_percent(mut self, percent: u32) -> Self {
        self.retry_percent = percent;
        self
    }

    /// Sends requests where their prefix is cached.
    pub const fn with_affinity(mut self, affinity: bool) -> Self {
        self.affinity = affinity;
        self
    }
}
