//! A workspace's token rate limit, shared by nodes that report to each other what they admit.
//!
//! Requests of very different sizes arrive at random nodes. With an even split of the limit, one node would refuse
//! requests while others have tokens left. Each node therefore checks a global bucket, which also counts the tokens
//! that the other nodes report. The tolerance above the limit covers tokens that are not reported yet. A node that
//! does not hear from all others falls back to its even share of the limit, and leaves the global bucket as it is.

use base::seed::Generator;
use base::{Millis, Seed};
use indexmap::IndexMap;
use rand::RngExt;

use crate::rate::Rate;
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
    /// Time until a node has heard what another one admitted.
    pub report_delay: Millis,
    /// Whether this node receives reports from all others.
    pub is_connected: bool,
}

/// Tokens that another node has admitted since it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTotal {
    /// The node.
    pub node: u64,
    /// The tokens.
    pub total: u64,
    /// Whether what it admitted before is unknown, or was counted otherwise.
    pub is_new: bool,
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

/// Maximum time until a refused request may be tried again, in multiples of the time that reports take.
const MAX_WAIT_DELAYS: f64 = 4.0;
/// Time over which the tokens admitted by all nodes are averaged, in milliseconds.
const ADMITTED_WINDOW_MS: f64 = 4_000.0;
/// Time over which this node's own tokens are averaged, of which there are few.
const OWN_WINDOW_MS: f64 = 10_000.0;

/// Enforces a workspace's limit on one node.
///
/// Load pattern: many times the limit, spread over many nodes that hear of each other's admissions late. If each node
/// admitted whenever the balance is positive, all would, until the first reports arrive: the limit would be exceeded by
/// the load of that time, again and again. So a node admits a part of its requests only, such that all nodes together
/// admit about the balance in the time that reports take.
#[derive(Clone, Debug)]
pub struct Limiter {
    global: Bucket,
    /// Whether the global bucket is left alone, since this node does not hear the others.
    is_held: bool,
    local: Bucket,
    generator: Generator,
    /// Tokens that this node has admitted since it started.
    admitted: u64,
    /// Tokens admitted by all nodes, as far as heard.
    all_admitted: Rate,
    /// Tokens that callers offered to this node, and those of them that were admitted.
    own_offered: Rate,
    own_admitted: Rate,
    /// The last reported totals of the other nodes, by node.
    peer_totals: IndexMap<u64, u64>,
}

impl Limiter {
    /// Creates a limiter of a node that has heard from the others since `since`. The global bucket was empty then, as the
    /// other nodes may have used up the limit.
    pub fn new(since: Millis, seed: Seed, settings: &LimitSettings) -> Self {
        Self {
            global: Bucket::new(since, 0.0),
            is_held: false,
            local: Bucket::new(since, settings.local_refill().capacity),
            generator: seed.generator(),
            admitted: 0,
            all_admitted: Rate::new(since, ADMITTED_WINDOW_MS),
            own_offered: Rate::new(since, OWN_WINDOW_MS),
            own_admitted: Rate::new(since, OWN_WINDOW_MS),
            peer_totals: IndexMap::new(),
        }
    }

    /// Leaves the common balance as it is while this node does not hear the others.
    ///
    /// Load pattern: a cluster is cut in parts for seconds, or many of its nodes are silent. The even shares of all nodes use up the
    /// limit then, whatever was heard of it. If the balance grew, all nodes would spend it once they hear each other.
    fn hold_balance(&mut self, now: Millis, settings: &LimitSettings) {
        self.is_held = !settings.is_connected;
        if self.is_held {
            let held = self.global.hold(now);
            self.all_admitted
                .add(now, settings.rate * held.0 as f64 / 1_000.0);
        }
    }

    /// Admits a request of `tokens` tokens, or returns the time after which it may be tried again.
    pub fn try_acquire(&mut self, now: Millis, tokens: u64, settings: &LimitSettings) -> Result<(), Millis> {
        let amount = tokens as f64;
        self.hold_balance(now, settings);
        let mut wait = self.local_wait(now, amount, settings);
        if settings.is_connected && wait > Millis::ZERO {
            wait = wait.min(self.global_wait(now, settings));
        }
        self.own_offered.add(now, amount);
        if wait > Millis::ZERO {
            return Err(wait);
        }
        self.own_admitted.add(now, amount);
        if settings.is_connected {
            self.all_admitted.add(now, amount);
        }
        self.local.debit(now, amount, settings.local_refill());
        if settings.is_connected {
            self.global.debit(now, amount, settings.global_refill());
        }
        self.admitted += tokens;
        Ok(())
    }

    /// Estimated tokens per millisecond that callers offer to all nodes: what these admit, scaled by this node's own
    /// refusals.
    fn demand(&self, now: Millis) -> f64 {
        let (offered, admitted) = (self.own_offered.get(now), self.own_admitted.get(now));
        let refused_ratio = if admitted > 0.0 { offered / admitted } else { 1.0 };
        self.all_admitted.get(now) * refused_ratio.max(1.0)
    }

    /// Time until a request may pass the global bucket.
    fn global_wait(&mut self, now: Millis, settings: &LimitSettings) -> Millis {
        let refill = settings.global_refill();
        let wait = self.global.wait_time(now, refill);
        if wait > Millis::ZERO {
            return wait;
        }
        // Tokens that the other nodes would admit before they hear of each other.
        let delay = settings.report_delay.0 as f64;
        let others = settings.nodes.saturating_sub(1) as f64 / settings.nodes.max(1) as f64;
        let others_demand = self.demand(now) * others;
        if others_demand * 1_000.0 <= settings.rate {
            return Millis::ZERO;
        }
        let unheard = others_demand * delay;
        let part = self.global.tokens() / unheard.max(f64::MIN_POSITIVE);
        let draw: f64 = self.generator.random_range(0.0..1.0);
        if draw < part {
            return Millis::ZERO;
        }
        let max_wait = delay * MAX_WAIT_DELAYS;
        Millis((delay / part.max(f64::MIN_POSITIVE)).min(max_wait) as u64)
    }

    /// Time until a request may pass the local bucket.
    ///
    /// With many nodes, the even share is less than one request, and a request may overdraw it. If each node admitted one
    /// at once, they would exceed the limit by that. So a request passes with the probability that makes up for what it
    /// takes beyond the balance and, if there is no common bucket, the share of a window.
    fn local_wait(&mut self, now: Millis, amount: f64, settings: &LimitSettings) -> Millis {
        let refill = settings.local_refill();
        let wait = self.local.wait_time(now, refill);
        if wait > Millis::ZERO {
            return wait;
        }
        let window = settings.tolerance.window;
        let refilled = if settings.is_connected {
            0.0
        } else {
            refill.rate * window.0 as f64 / 1_000.0
        };
        let share = self.local.tokens() + refilled;
        let draw: f64 = self.generator.random_range(0.0..1.0);
        if draw * amount < share {
            Millis::ZERO
        } else {
            window
        }
    }

    /// Returns the tokens of a request that did not run.
    pub const fn refund(&mut self, tokens: u64) {
        self.local.refund(tokens as f64);
        if !self.is_held {
            self.global.refund(tokens as f64);
        }
        self.admitted = self.admitted.saturating_sub(tokens);
    }

    /// Records the total that another node reports as admitted since it started.
    ///
    /// Of a new node's total, nothing is counted. A known node without a total had admitted nothing before.
    pub fn record_peer_total(&mut self, now: Millis, report: PeerTotal, settings: &LimitSettings) {
        let PeerTotal { node, total, is_new } = report;
        let previous = self.peer_totals.insert(node, total);
        let previous = if is_new { total } else { previous.unwrap_or(0) };
        let newly_admitted = total as f64 - previous as f64;
        self.hold_balance(now, settings);
        if settings.is_connected {
            self.all_admitted.add(now, newly_admitted.max(0.0));
            self.global.debit(now, newly_admitted, settings.global_refill());
        }
    }

    /// Tokens that this node has admitted since it started.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }
}
