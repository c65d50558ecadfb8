//! Cache events.

use serde::{Deserialize, Serialize};

/// Blocks added to and removed from the prefix cache. A missing number means that an event was lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number of the event, from 1.
    pub number: u64,
    /// Hashes of the prefixes that were added.
    pub stored: Vec<u64>,
    /// Hashes of the prefixes that were removed.
    pub removed: Vec<u64>,
}
