//! Periods and bounds of the configuration.

use base::Millis;

/// Periods and bounds of [`Config`](crate::Config).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Lifetime of the node's registration; a gap between steps of this length is a pause.
    pub registration_ttl: Millis,
    /// A node that could be behind for longer than this refuses new work.
    pub max_staleness: Millis,
    /// Wait at the start after a peer's answer, so that the peers know this node before it serves.
    pub startup_delay: Millis,
    /// A node out of contact for this long takes itself for gone.
    ///
    /// NB: together with the span within which a zone counts as heard of, this stays below the span after which a
    /// silent node is suspect and then gone.
    pub fence_after: Millis,
    /// Time between two askings.
    pub sync_interval: Millis,
}

impl Settings {
    /// The standard settings.
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
