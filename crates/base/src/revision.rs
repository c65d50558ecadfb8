//! Revision of a store that may be restored from a copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A revision. A restore starts a new era, in which numbers that were used before are used again, so that revisions are
/// ordered by era first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Era of the store; 0 if the store names none.
    pub era: u64,
    /// Number of the last change; increases with each change within the era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
