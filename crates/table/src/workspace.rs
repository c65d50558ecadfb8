//! Workspaces and the API keys that belong to them.

use std::sync::Arc;

use bytes::Bytes;

/// One workspace of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<Bytes>,
    /// Its priority, 0 first; goes before the route's.
    pub priority: Option<u8>,
    /// Tokens a second that all nodes together may let through; 0 for no limit.
    pub rate: f64,
    /// Tokens that may be used at once after a pause.
    pub burst: f64,
    /// Tokens that a request without a token count stands for.
    pub default_tokens: u64,
}

/// What an API key opens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// The route needs no key.
    Public,
    /// The key belongs to this workspace.
    Workspace(&'a Workspace),
    /// The key is unknown, or there is none.
    Denied,
}
