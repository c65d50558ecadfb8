//! Endpoints: the back ends that requests are routed to.

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::{Limits, Route, Share};

/// What stands behind an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine: streams tokens, caches prefixes, takes orders.
    Engine,
    /// A plain service.
    Service,
}

/// Whether an endpoint refuses orders that carry an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses them.
    Checked,
    /// It carries them out: a new holder of the role waits out the old one.
    Ignored,
}

/// An entry of the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name, as in `/v1/endpoints/{name}/`.
    pub name: Name,
    /// Who answers for it.
    pub owner: String,
    /// What stands behind it.
    pub kind: Kind,
    /// VM class that its replicas run on.
    pub class: Name,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Latency that 95 in 100 requests are to meet, in milliseconds; the first token's for a stream.
    pub latency_target_ms: u64,
    /// Bounds on what is sent to it.
    pub limits: Limits,
    /// Versions that may run.
    pub versions: Vec<Name>,
    /// The version that serves when no rollout is under way.
    pub stable: Name,
    /// Its routes.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// Workspaces that may use it.
    #[serde(rename = "share")]
    pub shares: Vec<Share>,
}

impl Endpoint {
    /// The latency target as a span.
    pub const fn latency_target(&self) -> Millis {
        Millis(self.latency_target_ms)
    }

    /// The route with the longest path that a request takes.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| route.path.len())
    }

    /// The share of `workspace`, if it may use this endpoint.
    pub fn share(&self, workspace: &str) -> Option<&Share> {
        self.shares
            .iter()
            .find(|share| share.workspace.as_str() == workspace)
    }
}
