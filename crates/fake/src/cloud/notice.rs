//! A reclaim notice.

use serde::{Deserialize, Serialize};

use super::vm::Kind;

/// Says that a VM will be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Place in the order of notices, from 1.
    pub number: u64,
    /// VM that will be reclaimed.
    pub vm: String,
    /// What runs on it.
    pub kind: Kind,
    /// Number of its start.
    pub incarnation: String,
    /// Milliseconds left at the time of the answer.
    pub remaining_ms: u64,
}
