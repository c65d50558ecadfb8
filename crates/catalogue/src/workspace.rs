//! Workspaces: the customers of a deployment.

use base::Name;
use serde::{Deserialize, Serialize};

/// A customer, identified by its bearer token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Digest of its bearer token, as printed by `bilberrylatch catalogue token`.
    pub token_digest: String,
    /// Weight of its requests in the fair queues.
    pub weight: u32,
}
