//! Reasons to refuse new work.

use std::fmt;

/// The reason why a node refuses new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No generation has been applied yet.
    NoCatalogue,
    /// The node has started or resumed from a pause, and its synchronization is not complete.
    Syncing,
    /// A newer generation is known, but not applied yet.
    Behind,
    /// Neither a recent answer from the platform nor a majority of the nodes can be reached.
    Partitioned,
    /// This incarnation was declared gone or has fenced itself.
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
