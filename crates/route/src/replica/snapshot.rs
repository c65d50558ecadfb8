//! State of a replica for gauges and reports.

/// State of a replica at one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Snapshot {
    /// This node's dispatches that have not ended.
    pub in_flight: u32,
    /// Adaptive limit on requests from all nodes.
    pub limit: f32,
    /// Whether the replica is leaving or gone.
    pub leaving: bool,
    /// Whether the replica is ejected after failures and gets no requests.
    pub ejected: bool,
    /// Whether the replica is probed with one request at a time.
    pub probing: bool,
}
