//! Reachability of the cluster.

/// The numbers of known and of reachable nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Nodes that are neither gone nor suspect and are in a zone with recent contact, including this node.
    pub reachable: usize,
    /// Nodes that are not gone.
    pub known: usize,
}

impl Reach {
    /// Whether more than half of the known nodes are reachable.
    ///
    /// Two partitions that can't reach each other never both have a majority.
    pub const fn is_majority(self) -> bool {
        self.reachable * 2 > self.known
    }
}
