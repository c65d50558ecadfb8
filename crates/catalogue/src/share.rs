//! A workspace's share of an endpoint.

use base::Name;
use serde::{Deserialize, Serialize};

/// Allows a workspace to use an endpoint, up to a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The workspace.
    pub workspace: Name,
    /// Maximum number of its requests in flight at the endpoint, across all nodes.
    pub in_flight: u32,
}
