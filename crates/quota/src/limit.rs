//! A workspace's limit, shared by nodes that tell each other what they let through.
//!
//! Load pattern: requests of very different sizes arrive at nodes at random, so that an even part of the limit is used
//! up at one node while others have room. Each node therefore counts against the whole limit, with what the others said
//! they let through. What it has not heard yet is covered by the room above the limit. A node that does not hear all
//! others falls back to its even part.

use base::Millis;
use indexmap::IndexMap;

use crate::{Bucket, Refill};

/// How far all nodes together may go over a workspace's limit.
///
/// In any `window` they may let through `(rate * window + burst) * (1 + overshoot) + slack` tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding window.
    pub window: Millis,
    /// Part of the limit by which it may be exceeded.
    pub overshoot: f64,
    /// Tokens by which it may be exceeded besides.
    pub slack: f64,
}

/// A workspace's limit and the nodes that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be used at once.
    pub burst: f64,
    /// How far it may be exceeded.
    pub tolerance: Tolerance,
    /// Nodes that share it.
    pub nodes: usize,
    /// Whether this node hears all others.
    pub is_connected: bool,
}

/// Part of the room above the limit that the whole uses; the rest covers what was not heard yet and what the last
/// requests owe.
const GLOBAL_HEADROOM: f64 = 0.25;
/// Part of the room that the nodes' own parts use while they hear each other.
const LOCAL_HEADROOM_CONNECTED: f64 = 0.15;
/// Part of the room that they use otherwise.
const LOCAL_HEADROOM_ISOLATED: f64 = 0.3;

impl LimitSettings {
    /// Tokens above the limit that are allowed in a window.
    fn headroom(&self) -> f64 {
        let seconds = self.tolerance.window.0 as f64 / 1_000.0;
        let limit = self.rate.mul_add(seconds, self.burst);
        limit.mul_add(self.tolerance.overshoot, self.tolerance.slack)
    }

    fn global_refill(&self) -> Refill {
        Refill {
            rate: self.rate,
            capacity: self.headroom().mul_add(GLOBAL_HEADROOM, self.burst),
        }
    }

    /// This node's even part.
    fn local_refill(&self) -> Refill {
        let nodes = self.nodes.max(1) as f64;
        let capacity = if self.is_connected {
            self.headroom() * LOCAL_HEADROOM_CONNECTED
        } else {
            self.headroom().mul_add(LOCAL_HEADROOM_ISOLATED, self.burst)
        };
        Refill {
            rate: self.rate / nodes,
            capacity: capacity / nodes,
        }
    }
}

/// One node's account of a workspace's limit.
#[derive(Clone, Debug)]
pub struct Limiter {
    global: Bucket,
    local: Bucket,
    /// Tokens that this node has let through since its start.
    admitted: u64,
    /// The same as the others said it, by node.
    peer_totals: IndexMap<u64, u64>,
}

impl Limiter {
    /// An account that starts now. The whole starts empty: the others may have used it up.
    pub fn new(now: Millis, settings: &LimitSettings) -> Self {
        Self {
            global: Bucket::new(now, 0.0),
            local: Bucket::new(now, settings.local_refill().capacity),
            admitted: 0,
            peer_totals: IndexMap::new(),
        }
    }

    /// Lets a request of so many tokens through, or says when it may come back.
    pub fn try_acquire(&mut self, now: Millis, tokens: u64, settings: &LimitSettings) -> Result<(), Millis> {
        let amount = tokens as f64;
        let mut wait = self.local.wait_time(now, settings.local_refill());
        if settings.is_connected {
            wait = wait.min(self.global.wait_time(now, settings.global_refill()));
        }
        if wait > Millis::ZERO {
            return Err(wait);
        }
        self.local.debit(now, amount, settings.local_refill());
        self.global.debit(now, amount, settings.global_refill());
        self.admitted += tokens;
        Ok(())
    }

    /// Takes back a request that did not run.
    pub const fn refund(&mut self, tokens: u64) {
        self.local.refund(tokens as f64);
        self.global.refund(tokens as f64);
        self.admitted = self.admitted.saturating_sub(tokens);
    }

    /// Another node has let through so many tokens since its start.
    pub fn record_peer_total(&mut self, now: Millis, node: u64, total: u64, settings: &LimitSettings) {
        let previous = self.peer_totals.insert(node, total).unwrap_or(total);
        let newly_admitted = total as f64 - previous as f64;
        self.global.debit(now, newly_admitted, settings.global_refill());
    }

    /// Tokens that this node has let through since its start.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }
}
