//! Workspaces: their settings and state in the router.

use crate::budget::Budget;
use crate::hash::Set;
use crate::key::EndpointKey;

/// Weight, share and retry budget of a workspace on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Weight in fair queueing, at least one.
    pub weight: u32,
    /// Maximum number of dispatches in flight on this node: the node's share of the workspace's limit.
    pub share: u32,
    /// Retries allowed per 100 first dispatches.
    pub retry_percent: u32,
}

impl Settings {
    /// Creates settings with a share, weight one and the default retry budget.
    pub const fn new(share: u32) -> Self {
        Self {
            weight: 1,
            share,
            retry_percent: 10,
        }
    }

    /// Sets the weight in fair queueing.
    pub const fn with_weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the retries allowed per 100 first dispatches.
    pub const fn with_retry_percent(mut self, percent: u32) -> Self {
        self.retry_percent = percent;
        self
    }
}

/// State of a workspace in the router.
#[derive(Debug)]
pub(crate) struct Workspace {
    pub settings: Settings,
    pub in_flight: u32,
    pub budget: Budget,
    /// Endpoints where the flow of the workspace is parked because the workspace has reached its share.
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
