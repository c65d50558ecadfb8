//! Faults of the key-value service.

use serde::{Deserialize, Serialize};

use crate::fault::{Outage, Trigger};

/// The faults in force; a field left out is no fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of every call.
    pub outage: Option<Outage>,
    /// Span for which connections are refused from now, in milliseconds; admin calls are refused too.
    pub refuse_ms: u64,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Writes, deletions and lease calls that take effect while their answer is lost.
    pub lose_answer: Trigger,
    /// Wait before the connection of a lost answer is reset, in milliseconds.
    pub lose_hold_ms: u64,
    /// Forget the history at once, so that every watch meets a gap.
    pub compact: bool,
    /// Reads and lists a second; 429 above; 0 is without limit.
    pub reads_per_s: u32,
    /// Writes, deletions and lease calls a second; 429 above; 0 is without limit.
    pub writes_per_s: u32,
}
