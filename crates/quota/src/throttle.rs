//! A rate limit of a few requests per second that a server names, kept by all nodes that send to it.

use admission::Rate;
use base::seed::Generator;
use base::{Millis, Seed};
use indexmap::IndexMap;
use rand::RngExt;

use crate::{Bucket, PeerTotal, Refill};

/// Minimum rate at which requests are sent, in requests per second. Otherwise a server that named a limit of zero would
/// never be heard again.
const MIN_RATE: f64 = 0.1;
/// Time whose requests may be sent at once, beside a single one, in seconds.
const BURST_SECONDS: f64 = 0.25;
/// Time over which this node's demand is averaged, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 4_000.0;

/// The nodes that share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Number of nodes.
    pub nodes: usize,
    /// Time until a node has heard what another one sent.
    pub report_delay: Millis,
    /// Whether this node receives reports from all others.
    pub is_connected: bool,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            nodes: 1,
            report_delay: Millis::ZERO,
            is_connected: true,
        }
    }
}

/// Keeps the requests of all nodes to one server within the rate that it named.
///
/// Load pattern: one server in need among many, while every node has several times its part of the limit to send. The even
/// part of a node is far below one request per second, and a bucket on each node would allow each a request at once. So
/// all nodes count against a common bucket. A request passes with the probability that makes all nodes together use up
/// its balance in the time that they need to hear of each other.
#[derive(Clone, Debug)]
pub struct Throttle {
    rate: f64,
    common: Bucket,
    generator: Generator,
    /// Requests that this node could have sent.
    demand: Rate,
    /// Requests that this node sent since the server first named a limit.
    sent: u64,
    last_sent: Millis,
    /// The last reported totals of the other nodes, by node.
    peer_totals: IndexMap<u64, u64>,
}

impl Throttle {
    /// Creates a throttle when a node first hears of a limit, in requests per second. The request whose answer named it
    /// counts as just sent.
    pub fn new(now: Millis, seed: Seed, rate: f64) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            common: Bucket::new(now, -1.0),
            generator: seed.generator(),
            demand: Rate::new(now, DEMAND_WINDOW_MS),
            sent: 0,
            last_sent: now,
            peer_totals: IndexMap::new(),
        }
    }

    /// Replaces the limit.
    pub const fn set_rate(&mut self, rate: f64) {
        self.rate = rate.max(MIN_RATE);
    }

    /// Returns the time until a request may be sent; zero if it may now.
    pub fn wait_time(&mut self, now: Millis, group: &Group) -> Millis {
        self.demand.add(now, 1.0);
        if !group.is_connected {
            let interval = Millis((group.nodes.max(1) as f64 * 1_000.0 / self.rate) as u64);
            return (self.last_sent + interval).since(now);
        }
        let wait = self.common.wait_time(now, self.refill());
        if wait > Millis::ZERO {
            return wait;
        }
        let others = group.nodes.saturating_sub(1) as f64;
        let unheard = self.demand.get(now) * others * group.report_delay.0 as f64;
        let draw: f64 = self.generator.random_range(0.0..1.0);
        if draw * unheard <= self.common.tokens() {
            Millis::ZERO
        } else {
            group.report_delay
        }
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Millis) {
        self.common.debit(now, 1.0, self.refill());
        self.sent += 1;
        self.last_sent = now;
    }

    /// Records the total that another node reports. Of the first one, nothing is counted: it may be older than this
    /// throttle.
    pub fn record_peer_total(&mut self, now: Millis, report: PeerTotal) {
        let PeerTotal { node, total, is_new } = report;
        let previous = self.peer_totals.insert(node, total);
        let previous = previous.filter(|_| !is_new).unwrap_or(total);
        let newly_sent = total.saturating_sub(previous);
        self.common.debit(now, newly_sent as f64, self.refill());
    }

    /// Requests that this node sent since the server first named a limit.
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    fn refill(&self) -> Refill {
        Refill {
            rate: self.rate,
            capacity: self.rate.mul_add(BURST_SECONDS, 1.0),
        }
    }
}
