//! Faults of the fake cloud.

use serde::{Deserialize, Serialize};

use crate::fault::Outage;

/// Active faults. An omitted field disables its fault, except that an omitted `lag_ms` keeps the current lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage that affects every call.
    pub outage: Option<Outage>,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Lag of the VM list, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Lag of notices, in milliseconds.
    pub notice_lag_ms: u64,
    /// VM starts to refuse.
    pub refuse_starts: Vec<Refusal>,
}

/// Selects the VM starts to refuse; an omitted field matches every start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Refusal {
    /// Availability zone.
    pub zone: Option<String>,
    /// VM class.
    pub class: Option<String>,
    /// Whether the VM is reclaimable rather than on demand.
    pub reclaimable: Option<bool>,
    /// HTTP status of the refusal.
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
    /// Whether the refusal applies to the start.
    pub fn matches(&self, start: &super::Start) -> bool {
        self.zone.as_ref().is_none_or(|zone| *zone == start.zone)
            && self.class.as_ref().is_none_or(|class| *class == start.class)
            && self
                .reclaimable
                .is_none_or(|reclaimable| reclaimable == start.reclaimable)
    }
}
