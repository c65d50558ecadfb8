//! Workspaces, their API keys and the access that a key gives.

use std::sync::Arc;

use bytes::Bytes;

/// A workspace of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// API keys that identify the workspace's callers.
    pub keys: Vec<Bytes>,
    /// Priority, 0 being the highest; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Rate limit over all nodes, in tokens per second; 0 means no limit.
    pub rate: f64,
    /// Burst size of the rate limit, in tokens.
    pub burst: f64,
    /// Tokens charged for a request that carries no token count.
    pub default_tokens: u64,
    /// Regions in which its requests may be processed; empty if they may be in any. Those of the route bind as well.
    pub allowed_regions: Vec<Arc<str>>,
}

/// Result of checking an API key against a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// The route needs no API key.
    Public,
    /// The key belongs to this workspace.
    Workspace(&'a Workspace),
    /// The key is missing or unknown.
    Denied,
}
