//! Orders to a replica.

use serde::{Deserialize, Serialize};

/// Action to execute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Action {
    /// Load a model's weights.
    LoadModel {
        /// Model to serve.
        model: String,
    },
    /// Load an adapter in addition to the model.
    LoadAdapter {
        /// Adapter to serve.
        adapter: String,
    },
    /// Replace the served version.
    LoadVersion {
        /// Version to serve.
        version: String,
    },
    /// Change the role.
    Role {
        /// New role, such as `prefill` or `decode`.
        role: String,
    },
}

/// Action with a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token, which increases with each holder of the role that issues orders.
    pub fencing: u64,
    /// Action to execute.
    pub action: Action,
}
