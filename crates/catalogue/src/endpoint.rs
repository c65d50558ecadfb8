//! Endpoints: the back ends that requests are routed to.

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::{Limits, Route, Share};

/// Type of the back end of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine, which streams tokens, caches prompt prefixes and accepts orders.
    Engine,
    /// A plain service.
    Service,
}

/// Whether an endpoint rejects orders with an outdated fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Orders with an outdated token are rejected.
    Checked,
    /// Orders with an outdated token are executed, so a new role holder must wait until the old one can no longer act.
    Ignored,
}

/// An endpoint declared in the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name, as used in `/v1/endpoints/{name}/`.
    pub name: Name,
    /// Person or team responsible for the endpoint.
    pub owner: String,
    /// Type of the back end.
    pub kind: Kind,
    /// VM class that the replicas run on.
    pub class: Name,
    /// Whether the endpoint checks fencing tokens.
    pub fencing: Fencing,
    /// Target for the 95th percentile of the latency, in milliseconds. For a stream, the latency of the first token.
    pub latency_target_ms: u64,
    /// Limits on the requests sent to the endpoint.
    pub limits: Limits,
    /// Versions that may be deployed.
    pub versions: Vec<Name>,
    /// Version that serves requests while no rollout is in progress.
    pub stable: Name,
    /// Routes of the endpoint.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// Workspaces that may use the endpoint, with their shares.
    #[serde(rename = "share")]
    pub shares: Vec<Share>,
}

impl Endpoint {
    /// Returns the latency target as a duration.
    pub const fn latency_target(&self) -> Millis {
        Millis(self.latency_target_ms)
    }

    /// Returns the matching route with the longest path.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| route.path.len())
    }

    /// Returns the share of `workspace`, or `None` if it may not use this endpoint.
    pub fn share(&self, workspace: &str) -> Option<&Share> {
        self.shares
            .iter()
            .find(|share| share.workspace.as_str() == workspace)
    }
}
