//! A replica's load report.

use serde::{Deserialize, Serialize};

/// Load as `GET /v1/load` reports it, late by the lag that is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Version that is served.
    pub version: String,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Requests that can run at once.
    pub capacity: u64,
    /// Blocks of prompt prefixes in the cache; zero for services.
    pub cached_blocks: u64,
}
