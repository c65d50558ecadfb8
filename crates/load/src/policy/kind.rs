//! Load-balancing policies.

use serde::{Deserialize, Serialize};

/// How a node chooses the replica of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Any live replica, uniformly at random.
    Random,
    /// The live replicas in turn.
    RoundRobin,
    /// The live replica with the fewest requests in flight from this node.
    LeastInFlight,
    /// The router without prefix affinity.
    #[serde(rename = "router-blind")]
    RouterWithoutAffinity,
    /// The production router.
    Router,
}

impl Kind {
    /// All policies.
    pub const ALL: [Self; 5] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::RouterWithoutAffinity,
        Self::Router,
    ];

    /// Label in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least-in-flight",
            Self::RouterWithoutAffinity => "router-blind",
            Self::Router => "router",
        }
    }
}
