//! Periods and bounds of [`Gossip`](crate::Gossip).

use base::Millis;

/// Periods and bounds; all nodes of a system use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Expected time between two ticks; new items leave with the next tick.
    pub tick: Millis,
    /// Time between two heartbeats to each watcher.
    pub heartbeat: Millis,
    /// A node whose watcher has heard nothing for this long is suspect.
    pub suspect_after: Millis,
    /// Time between two exchanges with a random peer.
    pub exchange: Millis,
    /// Time between two reports to the zone's collectors when nothing has changed.
    pub report: Millis,
    /// A suspect node without registration for this long is gone.
    pub gone_after: Millis,
    /// A VM that is off the list for this long has ended.
    pub ended_after: Millis,
    /// Zones heard of within this span count as reachable.
    pub heard_within: Millis,
    /// Added to the age of what a peer tells, for the time on the wire.
    pub wire_allowance: Millis,
    /// Number of peers to which a new item is pushed.
    pub fan_out: usize,
    /// Number of times that an item is pushed on.
    pub hops: u8,
    /// Most bytes of items in a frame, roughly.
    pub frame_bytes: usize,
    /// Most bytes of chunks held for peers.
    pub chunk_bytes: usize,
    /// Most marks held.
    pub marks: usize,
    /// Most vetoes held.
    pub vetoes: usize,
    /// Most demand reports held.
    pub reports: usize,
}

impl Settings {
    /// The standard settings.
    pub const fn new() -> Self {
        Self {
            tick: Millis(100),
            heartbeat: Millis(1_000),
            suspect_after: Millis(5_000),
            exchange: Millis(1_000),
            report: Millis(5_000),
            gone_after: Millis(30_000),
            ended_after: Millis(60_000),
            heard_within: Millis(12_000),
            wire_allowance: Millis(100),
            fan_out: 3,
            hops: 16,
            frame_bytes: 16 * 1024,
            chunk_bytes: 8 * 1024 * 1024,
            marks: 16_384,
            vetoes: 1_024,
            reports: 4_096,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}
