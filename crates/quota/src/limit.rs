//! A workspace's token rate limit, shared by nodes that report to each other what they admit.
//!
//! Requests of very different sizes arrive at random nodes. With an even split of the limit, one node would refuse
//! requests while others have tokens left. Each node therefore checks a global bucket, which also counts the tokens
//! that the other nodes report. The tolerance above the limit covers tokens that are not reported yet. A node that
//! does not hear from all others falls back to its even share of the limit, and leaves the global bucket as it is.

use admission::{Class, Rate, Rates, Split, is_mixed};
use base::seed::Generator;
use base::{Millis, Seed};
use indexmap::IndexMap;
use rand::RngExt;

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

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    /// Time after which it may be tried again.
    pub wait: Millis,
    /// Tokens that are left: of all nodes, or of this node's share while it does not hear the others.
    pub balance: f64,
    /// Time since another node last reported what it admitted; `None` if none has.
    pub report_age: Option<Millis>,
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
/// Part of the window for which protected classes may use up this node's share in advance, while it does not hear the others.
/// A large prompt overdraws the share of one node by several seconds.
const ADVANCE_PART: f64 = 0.25;
/// Weight of an even share in the estimate of how much other nodes are offered, in multiples of the limit.
const EVEN_SHARE_WEIGHT: f64 = 0.5;
/// Part of the headroom by which protected classes may overdraw the common balance. At the start of a surge, the nodes overdraw
/// it before they hear of each other.
const PROTECTED_HEADROOM: f64 = 0.3;
/// Multiple of this node's share that the classes are thinned to while it does not hear the others. The share itself bounds
/// what is admitted; with no excess it would not be used up.
const SHARE_EXCESS: f64 = 3.0;

/// Enforces a workspace's limit on one node.
///
/// Load pattern: many times the limit, spread over many nodes that hear of each other's admissions late. If each node
/// admitted whenever the balance is positive, all would, until the first reports arrive: the limit would be exceeded by
/// the load of that time, again and again. So a node admits a part of its requests only, such that all nodes together
/// admit about the balance in the time that reports take. Where requests of several classes compete, [`Split`] says which part
/// of each class.
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
    own_offered: Rates,
    own_admitted: Rate,
    /// When another node last reported its total.
    reported_at: Option<Millis>,
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
            own_offered: Rates::new(since, OWN_WINDOW_MS),
            own_admitted: Rate::new(since, OWN_WINDOW_MS),
            reported_at: None,
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

    /// Admits a request of `tokens` tokens, or returns the time after which it may be tried again. All requests that are admitted
    /// this way are of one class.
    pub fn try_acquire(&mut self, now: Millis, tokens: u64, settings: &LimitSettings) -> Result<(), Millis> {
        let admitted = self.try_acquire_as(now, Class::PLAIN, tokens, settings);
        admitted.map_err(|denial| denial.wait)
    }

    /// Admits a request of a class.
    pub fn try_acquire_as(
        &mut self,
        now: Millis,
        class: Class,
        tokens: u64,
        settings: &LimitSettings,
    ) -> Result<(), Denial> {
        let amount = tokens as f64;
        self.hold_balance(now, settings);
        let wait = self.wait(now, class, amount, settings);
        self.own_offered.add(now, class, amount);
        if wait > Millis::ZERO {
            return Err(self.denial(now, wait, settings));
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

    fn denial(&self, now: Millis, wait: Millis, settings: &LimitSettings) -> Denial {
        let bucket = if settings.is_connected {
            &self.global
        } else {
            &self.local
        };
        Denial {
            wait,
            balance: bucket.tokens(),
            report_age: self.reported_at.map(|at| now.since(at)),
        }
    }

    /// Estimated tokens per millisecond that callers offer to all nodes, by class: what these admit, scaled by this node's own
    /// requests and refusals.
    fn demand(&self, now: Millis, settings: &LimitSettings) -> [f64; Class::COUNT] {
        let (offered, admitted) = (self.own_offered.get(now), self.own_admitted.get(now));
        let all_admitted = self.all_admitted.get(now);
        if is_mixed(&offered) {
            // Of a class that is mostly refused, a node admits a few large requests only, and the quotient of all nodes' tokens
            // and its own varies with each of them. So it starts from an even share.
            let prior = settings.rate / 1_000.0 * EVEN_SHARE_WEIGHT;
            let own_share = admitted + prior / settings.nodes.max(1) as f64;
            let scale = (all_admitted + prior) / own_share.max(f64::MIN_POSITIVE);
            let total: f64 = offered.iter().sum();
            let measured = all_admitted / admitted.clamp(f64::MIN_POSITIVE, total);
            return offered.map(|own| own * scale.min(measured));
        }
        let total: f64 = offered.iter().sum();
        if total <= 0.0 {
            return [0.0; Class::COUNT];
        }
        let refused_ratio = if admitted > 0.0 { total / admitted } else { 1.0 };
        let all_offered = all_admitted * refused_ratio.max(1.0);
        offered.map(|own| all_offered * own / total)
    }

    /// Time until a request may be admitted; zero if it may now.
    fn wait(&mut self, now: Millis, class: Class, amount: f64, settings: &LimitSettings) -> Millis {
        if !settings.is_connected {
            let turn = self.isolated_turn(now, class, settings);
            return match turn {
                None => self.local_wait(now, amount, settings),
                Some(true) => Millis::ZERO,
                Some(false) => {
                    let wait = self.local.wait_time(now, settings.local_refill());
                    wait.max(settings.tolerance.window)
                }
            };
        }
        let balance_wait = self.global.wait_time(now, settings.global_refill());
        let split = self.split(now, settings);
        let is_short = split.total_demand() > split.rate;
        // A node's own share is less than one large prompt, so it would be used up by the small requests of any class.
        if is_short && is_mixed(&split.demand) && !split.is_protected(class) {
            return self.global_wait(balance_wait, class, &split);
        }
        let overdraft = settings.headroom() * PROTECTED_HEADROOM;
        if is_short && is_mixed(&split.demand) && (-overdraft..=0.0).contains(&split.balance) {
            return Millis::ZERO;
        }
        match self.local_wait(now, amount, settings) {
            Millis::ZERO => Millis::ZERO,
            wait if is_short => wait.min(self.global_wait(balance_wait, class, &split)),
            wait => wait.min(balance_wait),
        }
    }

    /// What all nodes together may spend, and the classes that ask for it.
    fn split(&self, now: Millis, settings: &LimitSettings) -> Split {
        let demand = self.demand(now, settings);
        let nodes = settings.nodes.max(1);
        let mut split = Split {
            demand,
            rate: settings.rate / 1_000.0,
            balance: self.global.tokens(),
            capacity: settings.global_refill().capacity,
            delay_ms: settings.report_delay.0 as f64,
        };
        // Tokens that the other nodes would admit before they hear of each other. A single node hears of its own at once, but
        // its classes compete.
        if nodes > 1 || !is_mixed(&split.demand) {
            let others = (nodes - 1) as f64 / nodes as f64;
            split.demand = demand.map(|own| own * others);
        }
        split
    }

    /// Time until a request may pass the global bucket while more is offered than the limit.
    fn global_wait(&mut self, balance_wait: Millis, class: Class, split: &Split) -> Millis {
        if balance_wait > Millis::ZERO {
            return balance_wait;
        }
        let part = split.admitted_part(class);
        let draw: f64 = self.generator.random_range(0.0..1.0);
        if draw < part {
            return Millis::ZERO;
        }
        let delay = split.delay_ms;
        let max_wait = delay * MAX_WAIT_DELAYS;
        Millis((delay / part.max(f64::MIN_POSITIVE)).min(max_wait).max(1.0) as u64)
    }

    /// Classes that compete for this node's share of the limit while it does not hear the others.
    fn local_split(&self, now: Millis, settings: &LimitSettings) -> Split {
        let refill = settings.local_refill();
        Split {
            demand: self.own_offered.get(now),
            rate: refill.rate / 1_000.0,
            balance: self.local.tokens(),
            capacity: refill.capacity,
            delay_ms: 0.0,
        }
    }

    /// Whether a request of a class leaves this node's share to more urgent ones, or may use it in advance, while the node does not
    /// hear the others. `None` if no other class competes for it.
    fn isolated_turn(&mut self, now: Millis, class: Class, settings: &LimitSettings) -> Option<bool> {
        let split = self.local_split(now, settings);
        if !is_mixed(&split.demand) || split.total_demand() <= split.rate {
            return None;
        }
        if split.is_protected(class) {
            let advance = split.rate * settings.tolerance.window.0 as f64 * ADVANCE_PART;
            return (split.balance <= 0.0).then_some(split.balance > -advance);
        }
        let share = Split {
            balance: split.rate * SHARE_EXCESS,
            capacity: 0.0,
            delay_ms: 1.0,
            ..split
        };
        let draw: f64 = self.generator.random_range(0.0..1.0);
        (draw >= share.admitted_part(class)).then_some(false)
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
        self.reported_at = Some(now);
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
