//! A workspace's token rate limit, shared by nodes that report to each other what they admit.
//!
//! Requests of very different sizes arrive at random nodes. With an even split of the limit, one node would refuse
//! requests while others have tokens left. Each node therefore checks a global bucket, which also counts the tokens
//! that the other nodes report. The tolerance above the limit covers tokens that are not reported yet. A node that
//! does not hear from all others falls back to its even share of the limit.

use base::Millis;
use indexmap::IndexMap;

use crate::{Bucket, Refill};

/// How far all nodes together may exceed a workspace's limit.
///
/// In any `window` they may admit `(rate * window + burst) * (1 + overshoot) + slack` tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding window.
    pub window: Millis,
    /// Fraction of the limit by which it may be exceeded.
    pub overshoot: f64,
    /// Tokens by which the limit may be exceeded in addition.
    pub slack: f64,
}

/// A workspace's limit, its tolerance, and the nodes that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Tokens per second.
    pub rate: f64,
    /// Burst size, in tokens.
    pub burst: f64,
    /// How far the limit may be exceeded.
    pub tolerance: Tolerance,
    /// Number of nodes that share the limit.
    pub nodes: usize,
    /// Whether this node receives reports from all others.
    pub is_connected: bool,
}

/// Fraction of the headroom that the global bucket uses. The rest covers tokens that are not reported yet and the
/// negative balance after the last requests.
const GLOBAL_HEADROOM: f64 = 0.25;
/// Fraction of the headroom that the local buckets of all nodes use while the nodes hear each other.
const LOCAL_HEADROOM_CONNECTED: f64 = 0.15;
/// Fraction of the headroom that the local buckets of all nodes use otherwise.
const LOCAL_HEADROOM_ISOLATED: f64 = 0.3;

impl LimitSettings {
    /// Returns the tokens above the limit that are allowed in a window.
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

    /// Refill of this node's even share of the limit.
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

/// Enforces a workspace's limit on one node.
#[derive(Clone, Debug)]
pub struct Limiter {
    global: Bucket,
    local: Bucket,
    /// Tokens that this node has admitted since it started.
    admitted: u64,
    /// The last reported totals of the other nodes, by node.
    peer_totals: IndexMap<u64, u64>,
}

impl Limiter {
    /// Creates a limiter. The global bucket starts empty, as the other nodes may have used up the limit.
    pub fn new(now: Millis, settings: &LimitSettings) -> Self {
        Self {
            global: Bucket::new(now, 0.0),
            local: Bucket::new(now, settings.local_refill().capacity),
            admitted: 0,
            peer_totals: IndexMap::new(),
        }
    }

    /// Admits a request of `tokens` tokens, or returns the time after which it may be tried again.
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

    /// Returns the tokens of a request that did not run.
    pub const fn refund(&mut self, tokens: u64) {
        self.local.refund(tokens as f64);
        self.global.refund(tokens as f64);
        self.admitted = self.admitted.saturating_sub(tokens);
    }

    /// Records the total that another node reports as admitted since it started.
    pub fn record_peer_total(&mut self, now: Millis, node: u64, total: u64, settings: &LimitSettings) {
        let previous = self.peer_totals.insert(node, total).unwrap_or(total);
        let newly_admitted = total as f64 - previous as f64;
        self.global.debit(now, newly_admitted, settings.global_refill());
    }

    /// Tokens that this node has admitted since it started.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }
}
