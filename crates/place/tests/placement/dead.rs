//! Entries of addresses where nothing listens, among those of the replicas, at a node that has just started.

use std::net::SocketAddr;

use base::{Millis, Seed};
use place::{Attempts, Demand, DispatchError, DispatchOutcome, Part, Pool, ReplicaKey};

use crate::support;

/// Time between two requests.
const REQUEST_INTERVAL: Millis = Millis(20);
const TIME: Millis = Millis(12_000);
/// Time after which all requests are served.
const LEARNING_TIME: Millis = Millis(2_000);

struct Case {
    name: &'static str,
    live: u16,
    dead: u16,
    caches_prompts: bool,
    /// How often each replica drops its idle connection.
    connection_life: Millis,
}

/// A node, and the replicas that listen.
struct Node {
    pool: Pool,
    live: u16,
    /// Until when there is a connection to each replica.
    connected_until: Vec<Millis>,
    connection_life: Millis,
}

/// The number of the replica at an address.
const fn number(address: SocketAddr) -> u16 {
    address.port() - support::FIRST_PORT
}

impl Node {
    fn new(case: &Case) -> Self {
        let replicas = case.live + case.dead;
        let pool = if case.caches_prompts {
            support::engine_pool(Seed(3), replicas)
        } else {
            support::plain_pool(Seed(3), replicas)
        };
        Self {
            pool,
            live: case.live,
            connected_until: vec![Millis::ZERO; usize::from(replicas)],
            connection_life: case.connection_life,
        }
    }

    /// Probes some replicas, as the node does while it may be cut off.
    fn probe(&mut self, now: Millis) {
        for probe in self.pool.take_probes(now, None) {
            self.connect(now, probe.replica, number(probe.address));
        }
    }

    fn connect(&mut self, now: Millis, key: ReplicaKey, replica: u16) -> bool {
        if now < self.connected_until[usize::from(replica)] {
            return true;
        }
        let is_live = replica < self.live;
        self.pool.record_connect(now, key, is_live);
        if is_live {
            self.connected_until[usize::from(replica)] = now + self.connection_life;
        }
        is_live
    }

    /// Sends a request until a replica takes it or it is refused; returns the number of refused connections if one takes it.
    fn send(&mut self, now: Millis) -> Option<usize> {
        let part = |id, tokens| Part { id, tokens };
        let parts = [part(now.0 / REQUEST_INTERVAL.0 % 7, 300), part(now.0 + 100, 40)];
        let mut tried = Vec::new();
        loop {
            let demand = Demand {
                tried: &tried,
                ..support::demand(&parts)
            };
            let choice = self.pool.choose(now, &demand).ok()?;
            let dispatch = self.pool.send(now, &choice, &demand);
            if self.connect(now, choice.replica, number(choice.address)) {
                self.pool.begin_answer(now + Millis(5), dispatch);
                self.pool
                    .end(now + Millis(5), dispatch, DispatchOutcome::Answered);
                return Some(tried.len());
            }
            self.pool.end(now, dispatch, DispatchOutcome::Unreachable);
            tried.push(choice.replica);
            let attempts = Attempts {
                is_idempotent: false,
                dispatches: tried.len(),
                unconnected: tried.len(),
                declines: 0,
                possible_runs: 0,
                in_flight: 0,
                max_runs: 1,
                time_left: Millis(8_000),
            };
            let assessment = DispatchError::NotSent.assess(false);
            if attempts.denial_after(assessment).is_some() {
                return None;
            }
        }
    }
}

/// Guards against nodes that go on trying dead addresses, or refuse requests, though they know replicas that listen.
#[test]
fn node_learns_no_dead_addresses() {
    const SHORT: Millis = Millis(300);
    const LONG: Millis = Millis(60_000);
    let case = |name, live, dead, caches_prompts, connection_life| Case {
        name,
        live,
        dead,
        caches_prompts,
        connection_life,
    };
    let cases = [
        case("one of few", 1, 5, false, LONG),
        case("a few, most dead", 4, 20, false, LONG),
        case("a few, most dead, prompts", 4, 20, true, SHORT),
        case("hundreds dead", 4, 600, false, SHORT),
        case("hundreds dead, prompts", 4, 600, true, LONG),
        case("hundreds dead, prompts, short connections", 4, 600, true, SHORT),
        case("enough to end a cut", 12, 100, false, SHORT),
        case("enough to end a cut, prompts", 12, 100, true, SHORT),
        case("enough to end a cut, hundreds dead", 20, 600, true, SHORT),
        case("half dead", 60, 60, true, SHORT),
    ];
    let mut failures = Vec::new();
    for case in &cases {
        let mut node = Node::new(case);
        let (mut sent, mut refused, mut late_refused, mut refused_connections) = (0, 0, 0, 0);
        for now in (1..TIME.0 / REQUEST_INTERVAL.0).map(|step| Millis(step * REQUEST_INTERVAL.0)) {
            node.probe(now);
            let outcome = node.send(now);
            refused += usize::from(outcome.is_none());
            if now >= LEARNING_TIME {
                sent += 1;
                late_refused += usize::from(outcome.is_none());
                refused_connections += outcome.unwrap_or_default();
            }
        }
        if late_refused > 0 || refused_connections > sent {
            failures.push(format!(
                "{}: {late_refused} of {sent} refused, {refused_connections} refused connections; {refused} in all",
                case.name
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
