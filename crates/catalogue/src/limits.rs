//! Limits of an endpoint.

use serde::{Deserialize, Serialize};

/// Limits on the requests that all nodes together send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of requests in flight per replica.
    pub in_flight: u32,
    /// Maximum number of requests that wait for a replica, per node.
    pub queue: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Maximum number of retries, as a percentage of requests.
    pub retry_percent: u32,
}

impl Limits {
    /// Creates limits with the default body size, timeout and retry percentage.
    pub const fn new(in_flight: u32, queue: u32) -> Self {
        const BODY_BYTES: u64 = 1024 * 1024;
        const TIMEOUT_MS: u64 = 30_000;
        const RETRY_PERCENT: u32 = 10;
        Self {
            in_flight,
            queue,
            body_bytes: BODY_BYTES,
            timeout_ms: TIMEOUT_MS,
            retry_percent: RETRY_PERCENT,
        }
    }
}
