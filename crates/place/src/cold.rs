//! Cold replicas: how long each is cold, and how many requests it may be sent.

use base::Millis;

/// Fraction of the requests that a cold replica may receive in a second which the nodes plan for. The rest is for requests that
/// are sent later than they were planned, since a connection had to be opened, and for nodes that start or leave.
const PLANNED_FRACTION: f64 = 0.8;

/// What the cold replicas of an endpoint take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Time for which a replica is cold after its start.
    pub start: Millis,
    /// Requests per second from all nodes combined.
    pub per_s: f64,
    /// Maximum number of requests in any one second from all nodes combined.
    pub max_in_second: f64,
}

/// The part of a cold replica's rate that a node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ColdShare {
    /// Number of nodes that send to the replica.
    pub senders: usize,
    /// Minimum time between two requests of each of them.
    pub interval: Millis,
}

impl ColdRate {
    /// Divides the rate among so many nodes.
    ///
    /// Load pattern: all nodes have requests for one cold replica at once. If each could send one as soon as its even part
    /// allows, the replica would receive one of every node in a moment. So only as many nodes send to it as may do so at
    /// once, each at an interval at which they use the rate up: the bound holds for any second, without any message.
    pub(crate) fn share(&self, nodes: usize) -> ColdShare {
        let per_s = self.per_s.min(self.max_in_second.max(1.0).floor());
        let planned = (self.max_in_second * PLANNED_FRACTION) as usize;
        let in_second = |senders: usize| senders as f64 * (per_s / senders as f64).ceil();
        let senders = (1..=planned.min(nodes))
            .rev()
            .find(|senders| in_second(*senders) <= self.max_in_second)
            .unwrap_or(1);
        ColdShare {
            senders,
            interval: Millis((senders as f64 * 1_000.0 / per_s).ceil() as u64),
        }
    }
}

/// Until when a replica is cold, as far as a node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cold {
    /// By what the replica said.
    said_until: Millis,
    /// Since when it may be cold without having said so: it is new to the node, or its zone's evacuation ended.
    assumed_since: Option<Millis>,
    /// Whether this node is one of those that send to the replica while it is cold.
    pub is_sender: bool,
    /// When this node last sent a request to it.
    pub last_sent: Option<Millis>,
}

impl Cold {
    /// Takes a replica for cold until it says otherwise.
    pub const fn assume(&mut self, now: Millis) {
        self.assumed_since = Some(now);
    }

    /// Records for how long the replica says that it is cold. A statement that may be older than what the node knows only
    /// prolongs it.
    pub fn record(&mut self, now: Millis, remaining: Millis, is_latest: bool) {
        let until = if remaining > Millis::ZERO {
            now + remaining
        } else {
            Millis::ZERO
        };
        if is_latest {
            self.said_until = until;
            self.assumed_since = None;
        } else {
            self.said_until = self.said_until.max(until);
        }
    }

    /// Until when the replica is cold, with the time for which it is so after its start.
    pub fn until(&self, start: Millis) -> Millis {
        let assumed = self.assumed_since.map_or(Millis::ZERO, |since| since + start);
        self.said_until.max(assumed)
    }

    /// Time until this node may send a request to a cold replica; `None` if it is for others to do so.
    pub fn wait(&self, now: Millis, share: ColdShare) -> Option<Millis> {
        let next = self.last_sent.map_or(now, |last| last + share.interval);
        self.is_sender.then(|| next.since(now))
    }
}
