//! Replicas that go dark where many nodes send to each of them rarely.
//!
//! Half of the requests find an open connection, on which nothing comes back; the others find none in time and go to
//! another replica.

use std::collections::BTreeMap;

use base::{Millis, Seed};
use place::{End, FlightKey, Part, Pool, Word};
use rand::RngExt;

use crate::support::{demand, engine};

/// Nodes, replicas, and replicas that go dark, as on the larger sites.
const NODES: usize = 70;
const REPLICAS: u16 = 90;
const DARK: usize = 14;
/// When they go dark, and the end of the replay.
const DARK_AT: u64 = 2_000;
const END: u64 = 8_000;
/// Requests of all nodes in each 10 ms step.
const ARRIVALS: usize = 5;
const STEP: u64 = 10;
/// Time to the first event and to the end of a request at a live replica.
const FIRST: u64 = 80;
const WHOLE: u64 = 300;
/// Callers leave a stream after this time without an event.
const LEAVES: u64 = 2_000;
/// Time between two datagrams of a node to each other one.
const TOLD: u64 = 350;

#[derive(Clone, Copy)]
enum Next {
    Begin,
    End(End),
}

/// Time until a connection to a dark replica is given up.
const CONNECT: u64 = 250;

/// Requests that were sent to dark replicas: lost on open connections, or delayed.
fn harmed(are_told: bool) -> usize {
    let mut generator = Seed(7).generator();
    let mut pools: Vec<Pool> = (0..NODES)
        .map(|node| engine(Seed(node as u64), REPLICAS))
        .collect();
    let mut due: BTreeMap<u64, Vec<(usize, FlightKey, Next)>> = BTreeMap::new();
    let parts = [Part { id: 1, tokens: 3_000 }];
    let mut harmed = 0;
    for now in (0..END).step_by(STEP as usize) {
        for (node, flight, next) in due.remove(&now).unwrap_or_default() {
            match next {
                Next::Begin => pools[node].begin(Millis(now), flight),
                Next::End(end) => pools[node].end(Millis(now), flight, end),
            }
        }
        for _arrival in 0..ARRIVALS {
            let node = generator.random_range(0..NODES);
            let demand = demand(&parts);
            let Ok(choice) = pools[node].choose(Millis(now), &demand) else {
                continue;
            };
            let flight = pools[node].send(Millis(now), &choice, &demand);
            let is_dark = now >= DARK_AT && (0..DARK).any(|number| *choice.id == format!("i-{number}"));
            if is_dark {
                harmed += 1;
                let (at, end) = if generator.random() {
                    (now + LEAVES, End::Cancelled)
                } else {
                    (now + CONNECT, End::Unreachable)
                };
                due.entry(at).or_default().push((node, flight, Next::End(end)));
            } else {
                due.entry(now + FIRST)
                    .or_default()
                    .push((node, flight, Next::Begin));
                due.entry(now + WHOLE)
                    .or_default()
                    .push((node, flight, Next::End(End::Answered)));
            }
        }
        if are_told && now % TOLD == 0 {
            tell(Millis(now), &mut pools);
        }
    }
    harmed
}

fn tell(now: Millis, pools: &mut [Pool]) {
    let said: Vec<_> = pools
        .iter()
        .map(|pool| (pool.own_loads(), pool.unreachable(now)))
        .collect();
    for (node, (loads, unreachable)) in said.iter().enumerate() {
        let zone = format!("zone-{}", node % 4);
        let word = Word {
            node: node as u64,
            zone: &zone,
            loads,
            unreachable,
        };
        for (other, pool) in pools.iter_mut().enumerate() {
            if other != node {
                pool.hear(now, &word);
            }
        }
    }
}

#[test]
fn nodes_spare_each_other_the_discovery_of_dark_replicas() {
    let [alone, told] = [harmed(false), harmed(true)];
    println!("harmed alone {alone}, told {told}");
    assert!(told * 3 < alone, "{told} of {alone}");
}

/// What others say of replica 0, and whether it is still chosen.
struct Case {
    name: &'static str,
    /// Node and availability zone of each that doubts it.
    doubts: &'static [(u64, &'static str)],
    /// Replicas that they doubt besides.
    others: u16,
    age: u64,
    is_chosen: bool,
}

const CASES: [Case; 6] = [
    Case {
        name: "nobody",
        doubts: &[],
        others: 0,
        age: 0,
        is_chosen: true,
    },
    Case {
        name: "one node",
        doubts: &[(1, "a")],
        others: 0,
        age: 0,
        is_chosen: true,
    },
    Case {
        name: "two nodes of a zone, which may be cut off",
        doubts: &[(1, "a"), (2, "a")],
        others: 0,
        age: 0,
        is_chosen: true,
    },
    Case {
        name: "two nodes of two zones",
        doubts: &[(1, "a"), (2, "b")],
        others: 0,
        age: 0,
        is_chosen: false,
    },
    Case {
        name: "the same, long ago",
        doubts: &[(1, "a"), (2, "b")],
        others: 0,
        age: 3_500,
        is_chosen: true,
    },
    Case {
        name: "of too many replicas",
        doubts: &[(1, "a"), (2, "b")],
        others: 5,
        age: 0,
        is_chosen: true,
    },
];

#[test]
fn doubts() {
    for case in CASES {
        let mut pool = engine(Seed(3), 9);
        let id = |number: u16| format!("i-{number}");
        let hashes: Vec<u64> = (0..=case.others).map(|number| place::hash(&id(number))).collect();
        for (node, zone) in case.doubts {
            let word = Word {
                node: *node,
                zone,
                loads: &[],
                unreachable: &hashes,
            };
            pool.hear(Millis(1_000), &word);
        }
        let parts = [Part { id: 1, tokens: 100 }];
        let now = Millis(1_000 + case.age);
        let chosen = (0..200).any(|_try| {
            let choice = pool.choose(now, &demand(&parts)).expect("a replica");
            *choice.id == *id(0)
        });
        assert_eq!(chosen, case.is_chosen, "{}", case.name);
    }
}
