//! Load report of a replica.

use serde::{Deserialize, Serialize};

/// Load as `GET /v1/load` reports it, delayed by the configured lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Currently served version.
    pub version: String,
    /// Number of running requests.
    pub running: u64,
    /// Number of queued requests.
    pub queued: u64,
    /// Maximum number of requests that run concurrently.
    pub capacity: u64,
    /// Number of blocks in the prefix cache; zero for services.
    pub cached_blocks: u64,
}
