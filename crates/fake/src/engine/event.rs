//! Cache events.

use serde::{Deserialize, Serialize};

/// Blocks that came into the prefix cache or left it; a missing number is a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Place in the order of events, from 1.
    pub number: u64,
    /// Hashes of prefixes now cached.
    pub stored: Vec<u64>,
    /// Hashes of prefixes no longer cached.
    pub removed: Vec<u64>,
}
