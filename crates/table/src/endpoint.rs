//! A group of replicas that requests are routed to.

use std::sync::Arc;

use crate::{Model, Scale};

/// One endpoint of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub name: Arc<str>,
    /// Path of its replicas' health check.
    pub health_path: String,
    /// Most connections that one replica takes from all nodes together.
    pub max_connections: u32,
    /// The engine of its replicas, if they run a model.
    pub model: Option<Model>,
    /// Bounds of orders for replicas; `None` if the fleet is fixed.
    pub scale: Option<Scale>,
}
