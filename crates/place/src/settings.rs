//! Settings of a pool.

use base::Millis;

/// Bounds and weights of the choices of one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Most requests that this node has in flight at one replica: its part of the replica's connections.
    pub max_in_flight: usize,
    /// Tokens that a replica caches; 0 for plain endpoints.
    pub cache_tokens: u64,
    /// Cost of reading a shared part again, as a multiple of the time that it takes: other requests wait for it too,
    /// and it takes the place of other cached parts.
    pub reread_weight: f64,
    /// Cost of sending to another availability zone.
    pub cross_zone_cost: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_in_flight: 64,
            cache_tokens: 0,
            reread_weight: 3.0,
            cross_zone_cost: Millis(2),
        }
    }
}
