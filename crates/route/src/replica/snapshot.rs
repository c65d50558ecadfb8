//! A replica's state for gauges and reports.

/// What the router thinks of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Snapshot {
    /// This node's dispatches that have not ended.
    pub in_flight: u32,
    /// The adaptive limit on requests of all nodes.
    pub limit: f32,
    /// Whether it is leaving or gone.
    pub leaving: bool,
    /// Whether it takes no requests after failures.
    pub ejected: bool,
    /// Whether it takes one request at a time, to see whether it works again.
    pub probing: bool,
}
