//! A node's uninterrupted access to the store, as it tells other nodes.

use base::Millis;
use serde::{Deserialize, Serialize};

/// A span in which the store answered a node without a gap in which leases may expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Uptime {
    /// Age of the first answer in the span.
    pub first: Millis,
    /// Age of the last answer.
    pub last: Millis,
}
