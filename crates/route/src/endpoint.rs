//! Endpoints: their settings and state in the router.

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

/// Maximum number of replicas ejected at once, in percent of the live ones.
const MAX_EJECTED_PERCENT: usize = 30;

/// State of an endpoint in the router.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub settings: Settings,
    pub pools: Pools,
    pub ejected: Set<ReplicaKey>,
    pub queue: Queue,
    pub budget: Budget,
    pub latency: Latency,
    pub prefixes: Table,
    /// This node's dispatches that have not ended.
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

    /// Maximum number of replicas that may be ejected now. At least one may, unless it is the only replica.
    pub fn max_ejected(&self) -> usize {
        let live = self.pools.live();
        let by_percent = live * MAX_EJECTED_PERCENT / 100;
        by_percent.max(usize::from(live > 1))
    }
}
