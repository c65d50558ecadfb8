//! Rate limits that replicas name in their answers.

use base::{Millis, Seed};
use quota::{Group, PeerTotal, Throttle};
use serde::{Deserialize, Serialize};

/// Age from which a node no longer reports what a replica said.
const REPORT_TTL: Millis = Millis(10_000);

/// What a node knows of a replica's rate limit, as it reports to the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerLimit {
    /// Hash of the replica's id; see [`crate::hash`].
    pub replica: u64,
    /// Requests per second that the replica takes from all nodes combined; `None` if it names no limit any more.
    pub per_s: Option<f64>,
    /// Time since the replica said so to the node.
    pub age: Millis,
    /// Requests that the node sent to it since it knows of a limit.
    pub sent: u64,
}

/// What a replica said, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Statement {
    at: Millis,
    per_s: Option<f64>,
}

/// The rate limit of a replica that has named one.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    /// The latest statement to any node.
    latest: Statement,
    /// The latest statement to this node.
    own: Option<Statement>,
    throttle: Throttle,
}

impl RateLimit {
    /// Creates the state when a limit is first named, to this node or to another.
    pub fn new(now: Millis, seed: Seed, at: Millis, per_s: f64) -> Self {
        Self {
            latest: Statement {
                at,
                per_s: Some(per_s),
            },
            own: None,
            throttle: Throttle::new(now, seed, per_s),
        }
    }

    /// Requests per second that the replica takes, and when it said so; `None` if it names no limit any more.
    pub fn limit(&self) -> Option<(Millis, f64)> {
        self.latest.per_s.map(|per_s| (self.latest.at, per_s))
    }

    /// Records what an answer to this node says.
    pub fn record_answer(&mut self, now: Millis, per_s: Option<f64>) {
        self.own = Some(Statement { at: now, per_s });
        self.record(now, per_s);
    }

    /// Records what the replica said to another node, and what that node sent.
    pub fn record_report(&mut self, now: Millis, node: u64, is_new: bool, report: &PeerLimit) {
        self.record(now - report.age, report.per_s);
        let total = PeerTotal {
            node,
            total: report.sent,
            is_new,
        };
        self.throttle.record_peer_total(now, total);
    }

    /// Time until a request may be sent; zero if it may now.
    pub fn wait_time(&mut self, now: Millis, group: &Group) -> Millis {
        match self.latest.per_s {
            Some(_) => self.throttle.wait_time(now, group),
            None => Millis::ZERO,
        }
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Millis) {
        if self.latest.per_s.is_some() {
            self.throttle.record_send(now);
        }
    }

    /// What the other nodes should know: only what the replica said to this node, so that no report is passed on in
    /// circles. A node that has heard nothing itself reports what it sent, with the age of a statement that is outdated.
    pub fn report(&self, now: Millis, replica: u64) -> Option<PeerLimit> {
        let own = self.own.filter(|own| now.since(own.at) < REPORT_TTL);
        if own.is_none() && self.latest.per_s.is_none() {
            return None;
        }
        Some(PeerLimit {
            replica,
            per_s: own.map_or(self.latest.per_s, |own| own.per_s),
            age: own.map_or(Millis::NEVER, |own| now.since(own.at)),
            sent: self.throttle.sent(),
        })
    }

    fn record(&mut self, at: Millis, per_s: Option<f64>) {
        if at < self.latest.at {
            return;
        }
        self.latest = Statement { at, per_s };
        if let Some(per_s) = per_s {
            self.throttle.set_rate(per_s);
        }
    }
}
