//! Faults of the cloud.

use serde::{Deserialize, Serialize};

use crate::fault::Outage;

/// The faults in force; a field left out is no fault, but for the lag, which keeps its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of every call.
    pub outage: Option<Outage>,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Lag of the VM list, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Lag of notices, in milliseconds.
    pub notice_lag_ms: u64,
    /// Starts that are refused.
    pub refuse_starts: Vec<Refusal>,
}

/// Starts to refuse; a field left out matches all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Refusal {
    /// Availability zone.
    pub zone: Option<String>,
    /// Class of machine.
    pub class: Option<String>,
    /// Reclaimable or on demand.
    pub reclaimable: Option<bool>,
    /// Status of the refusal.
    pub status: u16,
}

impl Default for Refusal {
    fn default() -> Self {
        Self {
            zone: None,
            class: None,
            reclaimable: None,
            status: 503,
        }
    }
}

impl Refusal {
    /// Whether the start is refused.
    pub fn matches(&self, start: &super::Start) -> bool {
        self.zone.as_ref().is_none_or(|zone| *zone == start.zone)
            && self.class.as_ref().is_none_or(|class| *class == start.class)
            && self
                .reclaimable
                .is_none_or(|reclaimable| reclaimable == start.reclaimable)
    }
}
