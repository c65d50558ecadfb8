//! What a key may be used for.

use base::Name;
use serde::{Deserialize, Serialize};

/// The endpoint and workspace that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Binding {
    /// The endpoint that the request is for.
    pub endpoint: Name,
    /// The workspace that the caller belongs to.
    pub workspace: Name,
}

impl Binding {
    /// A binding to `endpoint` for callers of `workspace`.
    pub const fn new(endpoint: Name, workspace: Name) -> Self {
        Self { endpoint, workspace }
    }
}
