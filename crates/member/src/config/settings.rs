//! Intervals and limits of [`Config`](crate::Config).

use base::Millis;

/// Intervals and limits of [`Config`](crate::Config).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Lifetime of the node's registration. A gap of this length between two steps counts as a pause.
    pub registration_ttl: Millis,
    /// Maximum time for which the catalogue may be stale before the node refuses new work.
    pub max_staleness: Millis,
    /// Delay between the first answer from a peer after startup and serving, so that peers learn of this node first.
    pub startup_delay: Millis,
    /// Time without contact after which the node fences itself.
    ///
    /// The sum of this and the gossip's `zone_timeout` must be less than the sum of its `suspect_after` and
    /// `gone_after`, so that a node fences itself before its peers declare it gone.
    pub fence_after: Millis,
    /// Interval between synchronization attempts.
    pub sync_interval: Millis,
}

impl Settings {
    /// Returns the default settings.
    pub const fn new() -> Self {
        Self {
            registration_ttl: Millis::from_secs(10),
            max_staleness: Millis::from_secs(15),
            startup_delay: Millis::from_secs(2),
            fence_after: Millis::from_secs(15),
            sync_interval: Millis(500),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}
