//! Workspaces: the customers of a deployment.

use base::Name;
use serde::{Deserialize, Serialize};

/// A customer, known by its bearer token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// Digest of its bearer token; `bilberrylatch catalogue token` prints it.
    pub token_digest: String,
    /// Weight in the fair queues.
    #[serde(default = "Workspace::default_weight")]
    pub weight: u32,
}

impl Workspace {
    const fn default_weight() -> u32 {
        1
    }
}
