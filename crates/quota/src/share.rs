//! A node's part of a workspace's limit.

use base::Millis;

/// How far all nodes together may go over a workspace's limit.
///
/// In any `window` they may let through `(rate * window + burst) * (1 + overshoot) + slack` tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the sliding window.
    pub window: Millis,
    /// Part of the limit by which it may be exceeded.
    pub overshoot: f64,
    /// Tokens by which it may be exceeded besides.
    pub slack: f64,
}

/// Rate and cap of one node's bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Tokens a second.
    pub rate: f64,
    /// Most tokens that can be saved up.
    pub cap: f64,
}

/// Part of the room above the limit that is used: the rest covers nodes that join before the others know.
const ROOM: f64 = 0.6;

impl Share {
    /// The even part of one of `nodes` nodes in a limit of `rate` tokens a second with a `burst`.
    ///
    /// Answers load that is spread by callers at random: each node sees about the same part of a workspace's
    /// requests, and the room above the limit, saved up by every node, takes the chance differences.
    pub fn even(rate: f64, burst: f64, bounds: Bounds, nodes: usize) -> Self {
        let seconds = bounds.window.0 as f64 / 1_000.0;
        let limit = rate.mul_add(seconds, burst);
        let room = limit.mul_add(bounds.overshoot, bounds.slack) * ROOM;
        let parts = nodes.max(1) as f64;
        Self {
            rate: rate / parts,
            cap: (burst + room) / parts,
        }
    }
}
