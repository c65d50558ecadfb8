//! Settings of a replica pool.

use base::Millis;

use crate::ColdRate;

/// Limits and cost weights for replica selection in one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of requests of this node in flight at one replica: its share of the replica's connections.
    pub max_in_flight: usize,
    /// Tokens that a replica can cache; 0 for endpoints without a prompt cache.
    pub cache_tokens: u64,
    /// Cost of processing a shared part on a replica other than its home, as a multiple of the time that it takes: it
    /// also delays other requests and evicts other cached parts.
    pub reread_weight: f64,
    /// Cost of sending a request to another availability zone.
    pub cross_zone_cost: Millis,
    /// What cold replicas take; `None` if they are as any other.
    pub cold: Option<ColdRate>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_in_flight: 64,
            cache_tokens: 0,
            reread_weight: 3.0,
            cross_zone_cost: Millis(2),
            cold: None,
        }
    }
}
