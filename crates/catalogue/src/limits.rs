//! Limits of an endpoint.

use serde::{Deserialize, Serialize};

/// Bounds on what the system sends to an endpoint, all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests in flight at one replica, at most.
    pub in_flight: u32,
    /// Requests that wait for a replica at one node, at most.
    pub queue: u32,
    /// Size of a request's body, in bytes.
    #[serde(default = "Limits::default_body_bytes")]
    pub body_bytes: u64,
    /// Time that a request may take, in milliseconds.
    #[serde(default = "Limits::default_timeout_ms")]
    pub timeout_ms: u64,
    /// Retries allowed, in percent of requests.
    #[serde(default = "Limits::default_retry_percent")]
    pub retry_percent: u32,
}

impl Limits {
    const fn default_body_bytes() -> u64 {
        1024 * 1024
    }

    const fn default_timeout_ms() -> u64 {
        30_000
    }

    const fn default_retry_percent() -> u32 {
        10
    }
}
