//! Reclaim notices.

use serde::{Deserialize, Serialize};

use super::vm::Kind;

/// Announces that a VM will be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Sequence number of the notice, from 1.
    pub number: u64,
    /// VM that will be reclaimed.
    pub vm: String,
    /// What runs on the VM.
    pub kind: Kind,
    /// Incarnation of the VM, which identifies its start.
    pub incarnation: String,
    /// Milliseconds left when the response is sent.
    pub remaining_ms: u64,
}
