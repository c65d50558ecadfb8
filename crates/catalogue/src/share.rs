//! A workspace's share of an endpoint.

use base::Name;
use serde::{Deserialize, Serialize};

/// Which workspace may use an endpoint, and how much of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The workspace.
    pub workspace: Name,
    /// Its requests in flight at the endpoint, all nodes together.
    pub in_flight: u32,
}
