//! Endpoints: their settings and what the router keeps of each.

pub(crate) mod latency;
pub(crate) mod pool;
pub mod settings;

pub use settings::Settings;

use crate::affinity::Table;
use crate::budget::Budget;
use crate::hash::Set;
use crate::key::ReplicaKey;
use crate::queue::Queue;
use latency::Latency;
use pool::Pools;

/// Most replicas ejected at once, in percent of those that are live.
const MAX_EJECTED_PERCENT: usize = 30;

/// What the router keeps of an endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub settings: Settings,
    pub pools: Pools,
    pub ejected: Set<ReplicaKey>,
    pub queue: Queue,
    pub budget: Budget,
    pub latency: Latency,
    pub prefixes: Table,
    /// Dispatches of this node that have not ended.
    pub in_flight: u32,
}

impl Endpoint {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pools: Pools::default(),
            ejected: Set::default(),
            queue: Queue::default(),
            budget: Budget::default(),
            latency: Latency::new(settings.latency_target),
            prefixes: Table::default(),
            in_flight: 0,
        }
    }

    /// Most replicas that may be ejected now. One of two may; the only one may not.
    pub fn max_ejected(&self) -> usize {
        let live = self.pools.live();
        let by_percent = live * MAX_EJECTED_PERCENT / 100;
        by_percent.max(usize::from(live > 1))
    }
}
