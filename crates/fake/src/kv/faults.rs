//! Faults of the key-value service.

use serde::{Deserialize, Serialize};

use crate::fault::{Outage, Trigger};

/// Active faults. An omitted field disables its fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage that affects every call.
    pub outage: Option<Outage>,
    /// Time from now during which connections are reset and refused, including those of admin calls, in milliseconds.
    pub refuse_ms: u64,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Writes, deletions and lease calls that take effect but whose response is lost.
    pub lose_answer: Trigger,
    /// Delay before the connection of a lost response is reset, in milliseconds.
    pub lose_hold_ms: u64,
    /// Compacts the entire history immediately, so that watches from an earlier revision receive 410.
    pub compact: bool,
    /// Limit of reads and lists per second, above which calls receive 429; 0 means unlimited.
    pub reads_per_s: u32,
    /// Limit of writes, deletions and lease calls per second, above which calls receive 429; 0 means unlimited.
    pub writes_per_s: u32,
}
