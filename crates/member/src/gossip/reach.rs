//! How much of the fleet is in reach.

/// How much of the fleet is in reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Nodes that are neither gone nor suspect, in zones that were heard of lately; the own node among them.
    pub reachable: usize,
    /// Nodes that are not gone.
    pub known: usize,
}

impl Reach {
    /// Whether more than half of the known nodes are in reach.
    ///
    /// Two parts of a fleet that can't reach each other are never both a majority.
    pub const fn is_majority(self) -> bool {
        self.reachable * 2 > self.known
    }
}
