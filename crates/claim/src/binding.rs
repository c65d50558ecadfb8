//! Scope of a key.

use base::Name;
use serde::{Deserialize, Serialize};

/// Endpoint and workspace that a key is valid for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Binding {
    /// Endpoint that the request is sent to.
    pub endpoint: Name,
    /// Workspace of the caller.
    pub workspace: Name,
}

impl Binding {
    /// Creates a binding to `endpoint` for callers of `workspace`.
    pub const fn new(endpoint: Name, workspace: Name) -> Self {
        Self { endpoint, workspace }
    }
}
