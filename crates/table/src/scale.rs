//! Scaling bounds and replica prices of an endpoint.

use std::sync::Arc;

use base::Millis;
use indexmap::IndexMap;

/// How many replicas an endpoint may have, and what they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Scale {
    /// Minimum number of replicas per availability zone, reclaimable and on-demand together.
    pub min: u32,
    /// Maximum number of replicas per availability zone, reclaimable and on-demand together.
    pub max: u32,
    /// Time from ordering a replica until it serves requests.
    pub boot_time: Millis,
    /// Price of a reclaimable replica as a fraction of the on-demand price; `None` if there are no such replicas.
    pub reclaimable_price: Option<f64>,
    /// Price of an on-demand replica by availability zone.
    pub zone_prices: IndexMap<Arc<str>, f64>,
}
