//! Workspaces: the customers of a deployment.

use base::Name;
use serde::{Deserialize, Serialize};

/// A customer, known by its bearer token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// Digest of its bearer token; `bilberrylatch catalogue token` prints it.
    pub token_digest: String,
    /// Weight in the fair queues.
    pub weight: u32,
}
