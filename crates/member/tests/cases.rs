//! Table-driven tests of zone progress, node termination, role ranks, address lists and item limits.

use std::net::SocketAddr;

use base::{Incarnation, Millis, Name, Seed};
use member::address::{Caller, List, Settings};
use member::frame::Message;
use member::gossip::Event;
use member::item::{Applied, Body, Item, Status};
use member::node::{Registration, State};
use member::{Acks, Frame, Generation, Gossip, Node, role};

fn node(number: u64, zone: &str) -> Node {
    let address = SocketAddr::from(([127, 0, 0, 1], number as u16));
    Node {
        name: Name::new(format!("node-{number}")),
        incarnation: Incarnation(number),
        epoch: 1,
        peer: address,
        caller: address,
        zone: Name::new(zone),
        region: Name::new("region"),
    }
}

/// Creates the gossip state of a node in zone `a` that knows `others`.
fn gossip(others: &[Node]) -> Gossip {
    let mut gossip = Gossip::new(node(1, "a"), Vec::new(), Seed(1));
    let listed = others.iter().map(|it| Registration {
        node: it.clone(),
        lease_expired: false,
    });
    gossip.step(Millis(1), Event::RegistrationsListed(listed.collect()));
    gossip
}

fn status(node: Node, leaving: bool, suspect: bool, gone: bool) -> Body {
    Body::Status(Status {
        node,
        sequence: 1,
        leaving,
        suspect,
        gone,
    })
}

struct CountCase {
    nodes: u32,
    incarnation_sum: u64,
    generation: u64,
    in_force: u64,
}

const COUNT_CASES: [CountCase; 4] = [
    CountCase {
        nodes: 2,
        incarnation_sum: 3,
        generation: 9,
        in_force: 9,
    },
    CountCase {
        nodes: 1,
        incarnation_sum: 1,
        generation: 9,
        in_force: 0,
    },
    CountCase {
        nodes: 2,
        incarnation_sum: 4,
        generation: 9,
        in_force: 0,
    },
    CountCase {
        nodes: 3,
        incarnation_sum: 3,
        generation: 9,
        in_force: 0,
    },
];

#[test]
fn zone_count_applies_only_to_a_matching_node_set() {
    for case in COUNT_CASES {
        let mut gossip = gossip(&[node(2, "a")]);
        let applied = Applied {
            region: Name::new("region"),
            zone: Name::new("a"),
            generation: Generation(case.generation),
            nodes: case.nodes,
            incarnation_sum: case.incarnation_sum,
            version: 1,
        };
        let collector = Incarnation(2);
        gossip.step(Millis(2), Event::Publish(Body::Applied { collector, applied }));
        let acks = Acks::new(gossip.view(), gossip.bodies());
        assert_eq!(acks.in_force(), Some(Generation(case.in_force)));
        let is_missing = case.in_force < case.generation;
        assert_eq!(
            !acks.zones_behind(Generation(case.generation)).is_empty(),
            is_missing
        );
    }
}

#[test]
fn gone_incarnation_stays_gone_after_its_items_expire() {
    let mut gossip = gossip(&[node(2, "a")]);
    gossip.step(Millis(10), Event::VmEnded(Incarnation(2)));
    assert_eq!(
        gossip
            .view()
            .member(Incarnation(2))
            .map(member::view::Member::state),
        Some(State::Gone)
    );
    let after_expiry = Millis::from_secs(1_200);
    gossip.step(after_expiry, Event::Tick);
    assert!(
        gossip.view().member(Incarnation(2)).is_none(),
        "the expired node is still in the view"
    );
    let item = Item {
        body: status(node(2, "a"), false, false, false),
        age: 0,
        hops: 1,
    };
    let frame = Frame {
        from: Incarnation(3),
        confirmed: None,
        message: Message::Push {
            items: vec![item],
            updates: Vec::new(),
        },
    };
    let actions = gossip.step(after_expiry, Event::Receive(frame));
    assert_eq!(actions, Vec::new());
    assert!(gossip.view().member(Incarnation(2)).is_none());
}

#[test]
fn later_incarnation_supersedes_the_earlier_one() {
    let mut gossip = gossip(&[node(2, "a")]);
    let mut later = node(2, "a");
    later.incarnation = Incarnation(20);
    later.epoch = 2;
    gossip.step(Millis(5), Event::Publish(status(later, false, false, false)));
    let state = |it: u64| {
        gossip
            .view()
            .member(Incarnation(it))
            .map(member::view::Member::state)
    };
    assert_eq!(state(2), Some(State::Gone));
    assert_eq!(state(20), Some(State::Alive));
}

#[test]
fn ranks_are_a_permutation_and_differ_by_role() {
    let candidates: Vec<Incarnation> = (1..=6).map(Incarnation).collect();
    let ranks = |name: &str| -> Vec<Option<usize>> {
        let rank = |me: &Incarnation| role::rank(&Name::new(name), *me, candidates.clone());
        candidates.iter().map(rank).collect()
    };
    let mut sorted = ranks("rollout/a");
    sorted.sort_unstable();
    assert_eq!(sorted, (0..6).map(Some).collect::<Vec<_>>());
    assert_ne!(ranks("rollout/a"), ranks("rollout/b"));
    assert_eq!(role::rank(&Name::new("x"), Incarnation(9), candidates), None);
}

struct AddressCase {
    /// Zone, `leaving` and `suspect` of the other nodes, numbered from 2.
    others: &'static [(&'static str, bool, bool)],
    /// Expected zones of the listed addresses, in order.
    zones: &'static [&'static str],
    is_short_lived: bool,
}

const ADDRESS_CASES: [AddressCase; 4] = [
    AddressCase {
        others: &[("a", false, false), ("b", false, false)],
        zones: &["a", "a", "b"],
        is_short_lived: false,
    },
    AddressCase {
        others: &[("a", true, false), ("b", false, true), ("c", false, false)],
        zones: &["a", "c"],
        is_short_lived: true,
    },
    AddressCase {
        others: &[("a", true, false), ("a", true, false), ("b", false, false)],
        zones: &["b", "a"],
        is_short_lived: true,
    },
    AddressCase {
        others: &[
            ("a", false, false),
            ("a", false, false),
            ("a", false, false),
            ("b", false, false),
        ],
        zones: &["a", "a", "b"],
        is_short_lived: false,
    },
];

#[test]
fn address_list_order_and_lifetime() {
    for case in ADDRESS_CASES {
        let mut gossip = gossip(&[]);
        for (number, (zone, leaving, suspect)) in (2..).zip(case.others) {
            let body = status(node(number, zone), *leaving, *suspect, false);
            gossip.step(Millis(2), Event::Publish(body));
        }
        let caller = Caller {
            region: Name::new("region"),
            zone: Name::new("a"),
            seed: Seed(3),
        };
        let mut settings = Settings::new();
        settings.max_addresses = 3;
        let list = List::new(gossip.view(), &indexmap::IndexMap::new(), &caller, &settings);
        let zones: Vec<&str> = list.addresses.iter().map(|it| it.zone.as_str()).collect();
        assert_eq!(zones, case.zones);
        assert_eq!(list.lifetime <= settings.short_lifetime, case.is_short_lived);
    }
}

#[test]
fn stored_items_are_bounded_and_expire() {
    const ITEMS: u64 = 20_000;
    let mut gossip = gossip(&[]);
    for id in 0..ITEMS {
        let vm = member::item::Vm {
            name: Name::new(format!("vm-{id}")),
            incarnation: Incarnation(id),
        };
        let report = bytes::Bytes::from_static(b"report");
        let evidence = report.clone();
        gossip.step(
            Millis(5),
            Event::Publish(Body::Mark {
                vm,
                ended: id % 2 == 0,
            }),
        );
        gossip.step(Millis(5), Event::Publish(Body::Veto { id, evidence }));
        gossip.step(
            Millis(5),
            Event::Publish(Body::Demand {
                id,
                version: 1,
                report,
            }),
        );
    }
    let settings = member::gossip::Settings::new();
    let max_items = settings.max_marks + settings.max_vetoes + settings.max_reports;
    assert_eq!(
        gossip.len(),
        max_items + 1,
        "the store holds the maximum of each kind and the node's own status"
    );
    gossip.step(Millis::from_secs(61), Event::Tick);
    assert_eq!(
        gossip.len(),
        max_items + 1 - settings.max_reports + 1,
        "reports have expired and the node's zone progress was added"
    );
    gossip.step(Millis::from_secs(601), Event::Tick);
    let marks = gossip
        .bodies()
        .filter(|it| matches!(it, Body::Mark { .. }))
        .count();
    assert_eq!(
        marks,
        settings.max_marks / 2,
        "only the marks of ended VMs have expired"
    );
}

#[test]
fn mark_ends_after_its_vm_is_unlisted_long_enough() {
    struct Case {
        listed: &'static [u64],
        ended: bool,
    }
    let cases = [
        Case {
            listed: &[0, 30, 59],
            ended: false,
        },
        Case {
            listed: &[0, 30, 61],
            ended: true,
        },
        Case {
            listed: &[0],
            ended: false,
        },
    ];
    let vm = member::item::Vm {
        name: Name::new("vm"),
        incarnation: Incarnation(7),
    };
    for case in cases {
        let mut gossip = gossip(&[]);
        let mark = Body::Mark {
            vm: vm.clone(),
            ended: false,
        };
        gossip.step(Millis(0), Event::Publish(mark.clone()));
        for second in case.listed {
            gossip.step(Millis::from_secs(*second), Event::VmsListed(Vec::new()));
        }
        let is_ended = gossip.get(&mark.key())
            == Some(&Body::Mark {
                vm: vm.clone(),
                ended: true,
            });
        assert_eq!(is_ended, case.ended);
        gossip.step(Millis::from_secs(70), Event::VmsListed(vec![vm.clone()]));
        let is_ended = gossip.get(&mark.key())
            == Some(&Body::Mark {
                vm: vm.clone(),
                ended: true,
            });
        assert_eq!(is_ended, case.ended, "listing the VM again changed its mark");
    }
}
