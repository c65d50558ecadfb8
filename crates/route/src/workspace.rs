//! Workspaces: their settings and what the router keeps of each.

use crate::budget::Budget;
use crate::hash::Set;
use crate::key::EndpointKey;

/// Weight and limit of one workspace on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Weight in the fair queues, at least one.
    pub weight: u32,
    /// Most dispatches in flight on this node: its share of the workspace's limit.
    pub share: u32,
    /// Retries allowed for each 100 first dispatches.
    pub retry_percent: u32,
}

impl Settings {
    /// A share with weight one and the usual retry budget.
    pub const fn new(share: u32) -> Self {
        Self {
            weight: 1,
            share,
            retry_percent: 10,
        }
    }

    /// Sets the weight in the fair queues.
    pub const fn with_weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the retries allowed for each 100 first dispatches.
    pub const fn with_retry_percent(mut self, percent: u32) -> Self {
        self.retry_percent = percent;
        self
    }
}

/// What the router keeps of a workspace.
#[derive(Debug)]
pub(crate) struct Workspace {
    pub settings: Settings,
    pub in_flight: u32,
    pub budget: Budget,
    /// Endpoints where its requests wait for its share alone.
    pub parked: Set<EndpointKey>,
}

impl Workspace {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            in_flight: 0,
            budget: Budget::default(),
            parked: Set::default(),
        }
    }

    pub const fn is_below_share(&self) -> bool {
        self.in_flight < self.settings.share
    }
}
