//! Which part of a limit stays free for nodes that lost their registrations, and when a node counts as cut off.

use std::net::SocketAddr;

use base::{Incarnation, Millis};
use entry::peers::{LostNodes, Topology};
use entry::view::{Peer, Peers};

const NODES: u64 = 12;
/// Time for which a node counts as lost.
const TIME: Millis = Millis(2_000);

fn incarnation(number: u64) -> Incarnation {
    Incarnation((number + 1) * 16)
}

fn peer(number: u64) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], 2_000 + number as u16));
    Peer {
        name: format!("node-{number}"),
        zone: format!("zone-{}", number % 3),
        address,
        peer_address: address,
        ready: true,
        capacity: 120,
        lease: number,
    }
}

fn registrations() -> Peers {
    (0..NODES)
        .map(|number| (incarnation(number), peer(number)))
        .collect()
}

struct Case {
    name: &'static str,
    /// Nodes that lose their registrations.
    lost: &'static [u64],
    /// Those of them that announced it.
    leaving: &'static [u64],
    /// Those of them whose names are registered again.
    restarted: &'static [u64],
    /// Those of them that are still heard.
    heard: &'static [u64],
    is_layered: bool,
    age: Millis,
    shared: f64,
}

const CASES: [Case; 9] = [
    Case {
        name: "none is lost",
        lost: &[],
        leaving: &[],
        restarted: &[],
        heard: &[],
        is_layered: false,
        age: Millis(100),
        shared: 1.0,
    },
    Case {
        name: "lost and silent",
        lost: &[1, 2, 3],
        leaving: &[],
        restarted: &[],
        heard: &[],
        is_layered: false,
        age: Millis(100),
        shared: 0.75,
    },
    Case {
        name: "lost for longer than a node serves without the store",
        lost: &[1, 2, 3],
        leaving: &[],
        restarted: &[],
        heard: &[],
        is_layered: false,
        age: Millis(2_000),
        shared: 1.0,
    },
    Case {
        name: "left in good order",
        lost: &[1, 2, 3],
        leaving: &[1, 2, 3],
        restarted: &[],
        heard: &[],
        is_layered: false,
        age: Millis(100),
        shared: 1.0,
    },
    Case {
        name: "restarted",
        lost: &[1, 2, 3],
        leaving: &[],
        restarted: &[1, 2, 3],
        heard: &[],
        is_layered: false,
        age: Millis(100),
        shared: 1.0,
    },
    Case {
        name: "cut off from the store only",
        lost: &[1, 2, 3],
        leaving: &[],
        restarted: &[],
        heard: &[1, 2, 3],
        is_layered: false,
        age: Millis(100),
        shared: 1.0,
    },
    Case {
        name: "of other zones, one of the own zone silent",
        lost: &[0, 1, 2],
        leaving: &[],
        restarted: &[],
        heard: &[],
        is_layered: true,
        age: Millis(100),
        shared: 0.75,
    },
    Case {
        name: "of other zones, those of the own zone heard",
        lost: &[0, 1, 2],
        leaving: &[],
        restarted: &[],
        heard: &[0],
        is_layered: true,
        age: Millis(100),
        shared: 1.0,
    },
    Case {
        name: "of other zones only",
        lost: &[1, 2],
        leaving: &[],
        restarted: &[],
        heard: &[],
        is_layered: true,
        age: Millis(100),
        shared: 1.0,
    },
];

#[test]
fn part_of_silent_nodes_without_registration_is_used() {
    for case in CASES {
        let mut lost = LostNodes::default();
        let mut peers = registrations();
        assert_eq!(lost.observe(Millis(0), &peers, TIME), 0, "{}", case.name);
        for number in case.leaving {
            peers[&incarnation(*number)].ready = false;
        }
        lost.observe(Millis(1_000), &peers, TIME);
        let numbers: Vec<Incarnation> = case.lost.iter().map(|it| incarnation(*it)).collect();
        peers.retain(|node, _| !numbers.contains(node));
        for number in case.restarted {
            peers.insert(Incarnation(number * 16 + 7), peer(*number));
        }
        lost.observe(Millis(1_100), &peers, TIME);
        let topology = Topology {
            is_layered: case.is_layered,
            ..Topology::default()
        };
        let is_heard = |node: Incarnation| case.heard.iter().any(|it| incarnation(*it) == node);
        let shared = lost.shared_fraction(Millis(1_100) + case.age, &topology, "zone-0", is_heard);
        assert!((shared - case.shared).abs() < 1e-9, "{}: {shared}", case.name);
    }
}

struct Silence {
    name: &'static str,
    /// Number of nodes that are silent, and for how long.
    silent: u64,
    time: Millis,
    is_connected: bool,
}

#[test]
fn nodes_that_fall_silent_together_are_noticed_late() {
    let cases = [
        Silence {
            name: "all are heard",
            silent: 0,
            time: Millis::ZERO,
            is_connected: true,
        },
        Silence {
            name: "a third has nothing to tell",
            silent: 4,
            time: Millis(400),
            is_connected: true,
        },
        Silence {
            name: "a third is silent for longer than that",
            silent: 4,
            time: Millis(550),
            is_connected: false,
        },
        Silence {
            name: "datagrams of one were lost",
            silent: 1,
            time: Millis(900),
            is_connected: true,
        },
        Silence {
            name: "one is missing",
            silent: 1,
            time: Millis(1_000),
            is_connected: false,
        },
    ];
    let peers = registrations();
    let topology = Topology::new(&peers, incarnation(0), "zone-0", &Topology::default());
    let now = Millis(10_000);
    for case in cases {
        let last_heard = |node: Incarnation| {
            let is_silent = node.0 > incarnation(0).0 && node.0 <= incarnation(case.silent).0;
            Some(if is_silent {
                Millis(now.0 - case.time.0)
            } else {
                now
            })
        };
        assert_eq!(
            topology.hears_nodes(now, last_heard),
            case.is_connected,
            "{}",
            case.name
        );
    }
}
