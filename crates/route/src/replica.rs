//! Replicas: their specification, load reports and state in the router.

pub(crate) mod health;
pub(crate) mod limit;
pub(crate) mod load;
pub(crate) mod placement;
pub mod report;
pub mod snapshot;
pub mod spec;

pub use report::Report;
pub use snapshot::Snapshot;
pub use spec::Spec;

use base::Millis;

pub(crate) use placement::Placement;

use health::Health;
use limit::Limit;
use load::Load;

/// Lifecycle phase of a replica; it only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    Live,
    Leaving,
    Gone,
}

/// State of one incarnation of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Replica {
    pub placement: Placement,
    pub phase: Phase,
    /// Whether the replica is in its endpoint's lists of free replicas.
    pub in_free_pool: bool,
    /// This node's dispatches that have not ended.
    pub in_flight: u32,
    pub load: Load,
    pub limit: Limit,
    pub health: Health,
}

impl Replica {
    pub fn new(spec: Spec) -> Self {
        Self {
            placement: Placement::new(&spec),
            phase: Phase::Live,
            in_free_pool: false,
            in_flight: 0,
            load: Load::default(),
            limit: Limit::new(spec.capacity),
            health: Health::default(),
        }
    }

    /// Maximum number of concurrent dispatches from this node.
    pub fn slots(&self) -> u32 {
        match self.health.state() {
            health::State::Closed => self.limit.slots(),
            health::State::HalfOpen => 1,
            health::State::Ejected => 0,
        }
    }

    /// Whether this node may add a dispatch, judging by its own dispatches alone.
    pub fn has_free_slot(&self) -> bool {
        self.phase == Phase::Live && self.in_flight < self.slots()
    }

    /// Estimated number of requests at the replica, from all nodes.
    pub fn estimated_load(&self, now: Millis) -> f32 {
        self.in_flight as f32 + self.load.other_nodes(now)
    }

    /// Whether one more request keeps the estimated load within the limit.
    pub fn has_capacity(&self, now: Millis) -> bool {
        self.has_free_slot() && self.estimated_load(now) + 1.0 <= self.limit.value()
    }

    /// Estimated load as a fraction of the limit.
    pub fn utilization(&self, now: Millis) -> f32 {
        self.estimated_load(now) / self.limit.value()
    }

    /// Estimated load with one more request, as a fraction of the limit.
    pub fn utilization_with_next(&self, now: Millis) -> f32 {
        (self.estimated_load(now) + 1.0) / self.limit.value()
    }

    /// Returns the state for gauges and reports.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            in_flight: self.in_flight,
            limit: self.limit.value(),
            leaving: self.phase > Phase::Live,
            ejected: self.health.state() == health::State::Ejected,
            probing: self.health.state() == health::State::HalfOpen,
        }
    }
}
