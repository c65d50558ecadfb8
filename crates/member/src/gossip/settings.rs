//! Periods and bounds of [`Gossip`](crate::Gossip).

use base::Millis;

/// Periods and bounds; all nodes of a system use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Expected time between two ticks; new items leave with the next tick.
    pub tick_interval: Millis,
    /// Time between two heartbeats to each watcher.
    pub heartbeat_interval: Millis,
    /// A node whose watcher has heard nothing for this long is suspect.
    pub suspect_after: Millis,
    /// Time between two exchanges with a random peer.
    pub exchange_interval: Millis,
    /// Time between two reports to the zone's collectors when nothing has changed.
    pub report_interval: Millis,
    /// A suspect node without registration for this long is gone.
    pub gone_after: Millis,
    /// A VM that is off the list for this long has ended.
    pub vm_ended_after: Millis,
    /// Zones heard of within this span count as reachable.
    pub zone_timeout: Millis,
    /// Added to the age of what a peer tells, for the time on the wire.
    pub transit_allowance: Millis,
    /// Number of peers to which a new item is pushed.
    pub fan_out: usize,
    /// Number of times that an item is pushed on.
    pub hops: u8,
    /// Most bytes of items in a frame, roughly.
    pub max_frame_bytes: usize,
    /// Most bytes of chunks held for peers.
    pub max_chunk_bytes: usize,
    /// Most marks held.
    pub max_marks: usize,
    /// Most vetoes held.
    pub max_vetoes: usize,
    /// Most demand reports held.
    pub max_reports: usize,
}

impl Settings {
    /// The standard settings.
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
