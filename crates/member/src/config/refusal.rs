//! Why a node serves no new work.

use std::fmt;

/// Why a node serves no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No generation has been applied yet.
    NoCatalogue,
    /// The node has started, or woken from a pause, and has no answer yet.
    Syncing,
    /// A newer generation is known and is not applied yet.
    Behind,
    /// Neither an answer of the platform nor more than half of the nodes are in reach.
    Partitioned,
    /// This incarnation was declared gone.
    Fenced,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoCatalogue => "no catalogue has been applied on this node yet; ask another node",
            Self::Syncing => "this node is asking whether its catalogue is the newest; ask another node",
            Self::Behind => {
                "this node knows of a newer catalogue and has not applied it yet; ask another node"
            }
            Self::Partitioned => "this node reaches neither the platform nor most nodes; ask another node",
            Self::Fenced => "this node was declared gone and must be restarted; ask another node",
        })
    }
}

impl std::error::Error for Refusal {}
