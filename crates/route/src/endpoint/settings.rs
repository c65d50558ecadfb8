//! Settings of an endpoint, from the catalogue.

use base::Millis;

/// Limits and policies of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Target time to the first token or byte. The concurrency limits of replicas adapt to it.
    pub latency_target: Millis,
    /// Maximum number of queued requests on this node.
    pub max_queue: u32,
    /// Maximum number of dispatches of one request.
    pub max_attempts: u8,
    /// Retries allowed per 100 first dispatches.
    pub retry_percent: u32,
    /// Whether replicas cache prompt prefixes, so that requests prefer the replica that has theirs cached.
    pub affinity: bool,
}

impl Settings {
    /// Creates the default settings for a latency target.
    pub const fn new(latency_target: Millis) -> Self {
        Self {
            latency_target,
            max_queue: 256,
            max_attempts: 3,
            retry_percent: 10,
            affinity: false,
        }
    }

    /// Sets the maximum number of queued requests on this node.
    pub const fn with_max_queue(mut self, requests: u32) -> Self {
        self.max_queue = requests;
        self
    }

    /// Sets the maximum number of dispatches of one request.
    pub const fn with_max_attempts(mut self, attempts: u8) -> Self {
        self.max_attempts = attempts;
        self
    }

    /// Sets the retries allowed per 100 first dispatches.
    pub const fn with_retry_percent(mut self, percent: u32) -> Self {
        self.retry_percent = percent;
        self
    }

    /// Sets whether requests prefer the replica that has their prefix cached.
    pub const fn with_affinity(mut self, affinity: bool) -> Self {
        self.affinity = affinity;
        self
    }
}
