//! Intervals and limits of [`Gossip`](crate::Gossip).

use base::Millis;

/// Intervals and limits. All nodes of a cluster must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Expected interval between ticks. New items are sent at the next tick.
    pub tick_interval: Millis,
    /// Interval between heartbeats to each watcher.
    pub heartbeat_interval: Millis,
    /// Time without contact after which a watcher suspects a node.
    pub suspect_after: Millis,
    /// Interval between exchanges with a random peer.
    pub exchange_interval: Millis,
    /// Interval between checks that the primary collector has counted the node's report, once it has.
    pub report_interval: Millis,
    /// Time after which a suspect node without a registration is declared gone.
    pub gone_after: Millis,
    /// Time after which a VM missing from the VM list counts as ended.
    pub vm_ended_after: Millis,
    /// Time since the last contact within which a zone counts as reachable.
    pub zone_timeout: Millis,
    /// Added to the age of information received from a peer, to account for network transit.
    pub transit_allowance: Millis,
    /// Number of peers that a new item is pushed to.
    pub fan_out: usize,
    /// Maximum number of times that an item is forwarded.
    pub hops: u8,
    /// Approximate maximum size of the items in a frame, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum total size of cached chunks, in bytes.
    pub max_chunk_bytes: usize,
    /// Maximum number of stored marks.
    pub max_marks: usize,
    /// Maximum number of stored vetoes.
    pub max_vetoes: usize,
    /// Maximum number of stored demand reports.
    pub max_reports: usize,
}

impl Settings {
    /// Returns the default settings.
    pub const fn new() -> Self {
        Self {
            tick_interval: Millis(100),
            heartbeat_interval: Millis(1_000),
            suspect_after: Millis(5_000),
            exchange_interval: Millis(1_000),
            report_interval: Millis(5_000),
            gone_after: Millis(30_000),
            vm_ended_after: Millis(60_000),
            zone_timeout: Millis(12_000),
            transit_allowance: Millis(100),
            fan_out: 3,
            hops: 16,
            max_frame_bytes: 16 * 1024,
            max_chunk_bytes: 8 * 1024 * 1024,
            max_marks: 16_384,
            max_vetoes: 1_024,
            max_reports: 4_096,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}
