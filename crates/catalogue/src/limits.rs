//! Limits of an endpoint.

use serde::{Deserialize, Serialize};

/// Bounds on what the system sends to an endpoint, all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests in flight at one replica, at most.
    pub in_flight: u32,
    /// Requests that wait for a replica at one node, at most.
    pub queue: u32,
    /// Size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Retries allowed, in percent of requests.
    pub retry_percent: u32,
}

impl Limits {
    /// Limits on requests with the usual bounds on bodies, time and retries.
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
