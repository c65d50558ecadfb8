//! Bounds and prices of the replicas that may be ordered for an endpoint.

use std::sync::Arc;

use base::Millis;
use indexmap::IndexMap;

/// How many replicas of an endpoint may be ordered, and what they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Scale {
    /// Fewest replicas in an availability zone, both kinds together.
    pub min: u32,
    /// Most replicas in an availability zone, both kinds together.
    pub max: u32,
    /// Time from an order until the replica serves.
    pub boot_time: Millis,
    /// Price of a reclaimable replica as a part of the on-demand price; `None` if there are none.
    pub reclaimable_price: Option<f64>,
    /// Price of an on-demand replica by availability zone.
    pub zone_prices: IndexMap<Arc<str>, f64>,
}
