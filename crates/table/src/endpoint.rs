//! An endpoint: a named group of replicas that serve the same requests.

use std::sync::Arc;

use crate::{Cold, Model, Scale};

/// An endpoint of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name that routes refer to.
    pub name: Arc<str>,
    /// HTTP path of the replicas' health check.
    pub health_path: String,
    /// Maximum number of connections to one replica, over all nodes.
    pub max_connections: u32,
    /// Engine of the replicas; `None` if they do not run a model.
    pub model: Option<Model>,
    /// Scaling bounds and prices; `None` if the number of replicas is fixed.
    pub scale: Option<Scale>,
    /// Limits of its cold replicas; `None` if it has none.
    pub cold: Option<Cold>,
}
