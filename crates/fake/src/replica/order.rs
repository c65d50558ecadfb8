//! Orders to a replica.

use serde::{Deserialize, Serialize};

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Action {
    /// Load a model's weights.
    LoadModel {
        /// Model to serve.
        model: String,
    },
    /// Load an adapter beside the model.
    LoadAdapter {
        /// Adapter to serve.
        adapter: String,
    },
    /// Serve a version in place of the one now served.
    LoadVersion {
        /// Version to serve.
        version: String,
    },
    /// Change role.
    Role {
        /// New role, such as `prefill` or `decode`.
        role: String,
    },
}

/// An action under a fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number that grows with each holder of the role that orders.
    pub fencing: u64,
    /// What to do.
    pub action: Action,
}
