//! Sums of datagrams by zone: what each node hears of all others, also while hubs change.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{Incarnation, Millis};
use entry::peers::{CutOff, Datagram, Hub, MAX_DATAGRAM_BYTES, Scope, Topology, Unreachable, Use};
use entry::view::{Peer, Peers};
use indexmap::IndexMap;
use place::{PeerLimit, PeerLoad};
use relay::Uptime;

const ZONES: usize = 3;
const ROUND: Millis = Millis(200);

fn peers(nodes: usize) -> Peers {
    let address = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let peer = |index: usize| Peer {
        name: format!("node-{index}"),
        zone: format!("zone-{}", index % ZONES),
        address: address(1_000 + index),
        peer_address: address(2_000 + index),
        ready: true,
        capacity: 120,
        lease: index as u64,
    };
    (0..nodes)
        .map(|index| (Incarnation(index as u64 * 16 + 16), peer(index)))
        .collect()
}

#[test]
fn datagrams_stay_in_the_zone_of_a_large_cluster() {
    struct Case {
        nodes: usize,
        is_layered: bool,
        direct: usize,
    }
    let cases = [
        Case {
            nodes: 1,
            is_layered: false,
            direct: 0,
        },
        Case {
            nodes: 9,
            is_layered: false,
            direct: 8,
        },
        Case {
            nodes: 51,
            is_layered: false,
            direct: 50,
        },
        Case {
            nodes: 60,
            is_layered: true,
            direct: 19,
        },
        Case {
            nodes: 195,
            is_layered: true,
            direct: 64,
        },
    ];
    for case in &cases {
        let peers = peers(case.nodes);
        let topologies: Vec<Topology> = peers
            .iter()
            .map(|(node, peer)| Topology::new(&peers, *node, &peer.zone, &Topology::default()))
            .collect();
        for topology in &topologies {
            assert_eq!(topology.is_layered, case.is_layered, "{} nodes", case.nodes);
            assert_eq!(topology.direct.len(), case.direct, "{} nodes", case.nodes);
        }
        let hubs: Vec<&Topology> = topologies.iter().filter(|it| it.is_hub).collect();
        assert_eq!(hubs.len(), if case.is_layered { ZONES } else { 0 });
        assert!(hubs.iter().all(|it| it.other_hubs.len() == ZONES - 1));
    }
}

/// One node: what it admitted, its hub state, and what it heard that others admitted.
#[derive(Default)]
struct Node {
    admitted: u64,
    hub: Hub,
    heard: IndexMap<(u64, bool), u64>,
    heard_growth: i64,
}

impl Node {
    /// Takes a datagram, and counts the growth as a limiter does.
    fn receive(&mut self, now: Millis, datagram: &Datagram, is_hub: bool) {
        let is_used = match datagram.scope {
            Scope::Node => true,
            Scope::Zone(_) => is_hub,
            Scope::Outside { .. } => !is_hub,
        };
        let how = self.hub.record(now, datagram, &[]);
        if how == Use::Nothing || !is_used {
            return;
        }
        let key = (datagram.from, datagram.scope == Scope::Node);
        for (_, total) in &datagram.used {
            let before = self.heard.insert(key, *total).unwrap_or(0);
            if how == Use::Difference {
                self.heard_growth += *total as i64 - before as i64;
            }
        }
    }
}

struct Cluster {
    now: Millis,
    nodes: Vec<Node>,
    hubs: [usize; ZONES],
}

impl Cluster {
    fn new(nodes: usize) -> Self {
        Self {
            now: Millis(1_000),
            nodes: (0..nodes).map(|_| Node::default()).collect(),
            hubs: [0, 1, 2],
        }
    }

    fn own(&self, node: usize) -> Datagram {
        Datagram {
            from: node as u64 + 1,
            used: vec![(Arc::from("tills"), self.nodes[node].admitted)],
            ..Datagram::default()
        }
    }

    /// All nodes admit tokens, then send what they owe; a hub that is `down` sends nothing.
    fn round(&mut self, tokens: u64, down: Option<usize>) {
        self.now = self.now + ROUND;
        for node in &mut self.nodes {
            node.admitted += tokens;
        }
        for from in 0..self.nodes.len() {
            let datagram = self.own(from);
            for to in (0..self.nodes.len()).filter(|to| to % ZONES == from % ZONES && *to != from) {
                let is_hub = self.hubs.contains(&to);
                self.nodes[to].receive(self.now, &datagram, is_hub);
            }
        }
        for (zone, hub) in self.hubs.into_iter().enumerate() {
            if down == Some(hub) {
                continue;
            }
            let (own, name) = (self.own(hub), Arc::from(format!("zone-{zone}")));
            let mut digest = self.nodes[hub].hub.zone_digest(self.now, &name, &own);
            digest.from = hub as u64 + 1;
            for to in self.hubs.into_iter().filter(|to| *to != hub) {
                self.nodes[to].receive(self.now, &digest, true);
            }
        }
        for (zone, hub) in self.hubs.into_iter().enumerate() {
            if down == Some(hub) {
                continue;
            }
            let mut digest = self.nodes[hub].hub.outside_digest(self.now, ZONES - 1);
            digest.from = hub as u64 + 1;
            for to in (0..self.nodes.len()).filter(|to| to % ZONES == zone && *to != hub) {
                self.nodes[to].receive(self.now, &digest, false);
            }
        }
    }
}

#[test]
fn every_node_hears_the_growth_of_all_others_once() {
    let mut cluster = Cluster::new(60);
    cluster.round(0, None);
    for node in &mut cluster.nodes {
        node.heard_growth = 0;
    }
    for _ in 0..10 {
        cluster.round(7, None);
    }
    for (index, node) in cluster.nodes.iter().enumerate() {
        assert_eq!(node.heard_growth, 59 * 70, "node {index}");
        assert!(
            node.hub
                .hears_other_zones(cluster.now, cluster.hubs.contains(&index), ZONES - 1)
        );
    }
}

/// A hub is gone, its zone's nodes know that they don't hear the others, and nothing is counted twice once another
/// node has taken over.
#[test]
fn change_of_hub_counts_nothing_twice() {
    let mut cluster = Cluster::new(60);
    cluster.round(0, None);
    for node in &mut cluster.nodes {
        node.heard_growth = 0;
    }
    for _ in 0..5 {
        cluster.round(7, None);
    }
    for _ in 0..5 {
        cluster.round(7, Some(0));
    }
    for (index, node) in cluster.nodes.iter().enumerate() {
        let hears = node
            .hub
            .hears_other_zones(cluster.now, cluster.hubs.contains(&index), ZONES - 1);
        assert!(!hears || index == 0, "node {index}");
    }
    cluster.hubs[0] = 3;
    for _ in 0..10 {
        cluster.round(7, None);
    }
    // The first hub is back, and goes on with its old sums.
    cluster.round(7, Some(3));
    cluster.hubs[0] = 0;
    for _ in 0..10 {
        cluster.round(7, None);
    }
    let growth = 31 * 7 * 59;
    for (index, node) in cluster.nodes.iter().enumerate() {
        assert!(node.heard_growth <= growth, "node {index}: {}", node.heard_growth);
        assert!(
            node.heard_growth >= growth / 2,
            "node {index}: {}",
            node.heard_growth
        );
        assert!(
            node.hub
                .hears_other_zones(cluster.now, cluster.hubs.contains(&index), ZONES - 1)
        );
    }
}

/// Nodes that are cut off from the store lose their registrations, but go on admitting and sending requests. What they
/// and their hub report is counted as long as they are heard.
#[test]
fn sums_count_nodes_that_are_heard_but_not_registered() {
    struct Case {
        name: &'static str,
        scope: Scope,
        /// Time between the datagrams.
        pause: Millis,
        /// Growth that the sums count.
        counted: u64,
    }
    let (workspace, endpoint): (Arc<str>, Arc<str>) = (Arc::from("tills"), Arc::from("engine"));
    let datagram = |from: u64, scope: &Scope, total: u64| Datagram {
        from,
        scope: scope.clone(),
        used: vec![(Arc::clone(&workspace), total)],
        limits: vec![(
            Arc::clone(&endpoint),
            vec![PeerLimit {
                replica: 5,
                per_s: Some(1.0),
                age: Millis::ZERO,
                sent: total,
            }],
        )],
        ..Datagram::default()
    };
    let cases = [
        Case {
            name: "a node",
            scope: Scope::Node,
            pause: Millis(300),
            counted: 20,
        },
        Case {
            name: "a hub of another zone",
            scope: Scope::Zone(Arc::from("zone-1")),
            pause: Millis(300),
            counted: 20,
        },
        Case {
            name: "a node that was silent",
            scope: Scope::Node,
            pause: Millis(1_500),
            counted: 0,
        },
    ];
    for case in &cases {
        let mut hub = Hub::default();
        let mut now = Millis(1_000);
        for total in [10, 20, 30] {
            now = now + case.pause;
            hub.retain(now, |_| false, |_| false);
            hub.record(now, &datagram(2, &case.scope, total), &[]);
        }
        let sums = if case.scope == Scope::Node {
            hub.zone_digest(now, &Arc::from("zone-0"), &Datagram::default())
        } else {
            hub.outside_digest(now, 1)
        };
        let used: u64 = sums.used.iter().map(|(_, total)| total).sum();
        assert_eq!(used, case.counted, "tokens of {}", case.name);
        let sent = sums.limits[0].1[0].sent;
        assert_eq!(sent, case.counted, "requests of {}", case.name);
    }
}

/// While two nodes send the same sums, as one of them is cut off from the store, the one that hears all zones is used,
/// then the hub in the view.
#[test]
fn sums_come_from_the_hub_that_hears_all_zones() {
    const HUB: u64 = 2;
    const OTHER: u64 = 3;
    struct Case {
        name: &'static str,
        first: (u64, Scope),
        second: (u64, Scope),
        second_use: Use,
        /// How the next datagram of the first is used then.
        first_use: Use,
    }
    let outside = |is_complete| Scope::Outside { is_complete };
    let zone = || Scope::Zone(Arc::from("zone-1"));
    let cases = [
        Case {
            name: "the hub takes over from another",
            first: (OTHER, outside(true)),
            second: (HUB, outside(true)),
            second_use: Use::Baseline,
            first_use: Use::Nothing,
        },
        Case {
            name: "the hub does not hear all zones yet",
            first: (OTHER, outside(true)),
            second: (HUB, outside(false)),
            second_use: Use::Nothing,
            first_use: Use::Difference,
        },
        Case {
            name: "the hub no longer hears all zones",
            first: (HUB, outside(false)),
            second: (OTHER, outside(true)),
            second_use: Use::Baseline,
            first_use: Use::Nothing,
        },
        Case {
            name: "another sends beside the hub",
            first: (HUB, outside(true)),
            second: (OTHER, outside(true)),
            second_use: Use::Nothing,
            first_use: Use::Difference,
        },
        Case {
            name: "neither is the hub",
            first: (OTHER, outside(true)),
            second: (OTHER + 1, outside(true)),
            second_use: Use::Nothing,
            first_use: Use::Difference,
        },
        Case {
            name: "the hub of another zone takes over",
            first: (OTHER, zone()),
            second: (HUB, zone()),
            second_use: Use::Baseline,
            first_use: Use::Nothing,
        },
        Case {
            name: "another sends beside the hub of another zone",
            first: (HUB, zone()),
            second: (OTHER, zone()),
            second_use: Use::Nothing,
            first_use: Use::Difference,
        },
    ];
    for case in cases {
        let mut hub = Hub::default();
        let mut record = |at: u64, (from, scope): (u64, Scope)| {
            let datagram = Datagram {
                from,
                scope,
                ..Datagram::default()
            };
            hub.record(Millis(at), &datagram, &[Incarnation(HUB)])
        };
        assert_eq!(record(1_000, case.first.clone()), Use::Baseline, "{}", case.name);
        assert_eq!(record(1_100, case.second), case.second_use, "{}", case.name);
        assert_eq!(record(1_200, case.first), case.first_use, "{}", case.name);
    }
}

#[test]
fn large_digest_fits_into_a_datagram() {
    let loads = (0..200).map(|replica| PeerLoad {
        replica: u64::MAX - replica,
        in_flight: 3,
        unread_tokens: replica * 100,
    });
    let mut datagram = Datagram {
        used: (0..19)
            .map(|it| (Arc::from(format!("workspace{it}")), 1_000_000))
            .collect(),
        loads: vec![(Arc::from("models"), loads.collect())],
        unreachable: vec![Unreachable {
            zone: Arc::from("zone-1"),
            endpoint: Arc::from("models"),
            replicas: vec![7; 10],
        }],
        ..Datagram::default()
    };
    let bytes = datagram.encode().unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    let decoded: Datagram = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(decoded, datagram);
    // The replicas with the most unread tokens are kept.
    let kept = &decoded.loads[0].1;
    assert!(kept.len() > 50, "{} loads kept", kept.len());
    assert_eq!(kept[0].unread_tokens, 19_900);
    assert_eq!(decoded.used.len(), 19);
    assert_eq!(decoded.unreachable.len(), 1);
}

/// Thousands of replicas: a digest names the ones with the most unread tokens, without encoding all of them.
#[test]
fn digest_keeps_the_largest_loads() {
    let mut hub = Hub::default();
    let now = Millis(1_000);
    for node in 0..10 {
        let loads = (0..300).map(|replica| PeerLoad {
            replica: node * 300 + replica,
            in_flight: 1,
            unread_tokens: node * 300 + replica,
        });
        let datagram = Datagram {
            from: node + 1,
            loads: vec![(Arc::from("models"), loads.collect())],
            ..Datagram::default()
        };
        hub.record(now, &datagram, &[]);
    }
    let digest = hub.zone_digest(now, &Arc::from("zone-1"), &Datagram::default());
    let loads = &digest.loads[0].1;
    assert_eq!(loads.len(), 128);
    assert_eq!(loads[0].unread_tokens, 2_999);
    assert_eq!(loads[127].unread_tokens, 2_872);
}

/// What a hub passes on of the store grows old with the datagrams that said it, and is dropped with them.
#[test]
fn reported_uptimes_age_and_expire() {
    let uptime = |first, last| Uptime {
        first: Millis(first),
        last: Millis(last),
    };
    let datagram = |scope| Datagram {
        from: 2,
        scope,
        uptime: Some(uptime(5_000, 10)),
        ..Datagram::default()
    };
    let mut hub = Hub::default();
    hub.record(Millis(10_000), &datagram(Scope::Node), &[]);
    hub.record(Millis(10_000), &datagram(Scope::Zone(Arc::from("zone-1"))), &[]);
    let later = Millis(10_300);
    assert_eq!(hub.zone_uptimes(later), [uptime(5_300, 310)]);
    assert_eq!(hub.outside_uptimes(later), [uptime(5_300, 310)]);
    assert_eq!(hub.outside_age(later), Some(Millis(300)));
    let expired = Millis(12_000);
    assert_eq!(hub.zone_uptimes(expired), []);
    assert_eq!(hub.outside_uptimes(expired), []);
}

/// Nodes that reach no replica of an endpoint are told apart from zones of which no node does.
#[test]
fn sums_name_what_no_node_of_the_zone_reaches() {
    let (now, engine) = (Millis(1_000), "engine");
    let datagram = |from: u64, cut_off: &[&str]| Datagram {
        from,
        cut_off: cut_off
            .iter()
            .map(|endpoint| CutOff {
                zone: Arc::from("zone-0"),
                endpoint: Arc::from(*endpoint),
            })
            .collect(),
        ..Datagram::default()
    };
    let mut hub = Hub::default();
    hub.record(now, &datagram(2, &[engine, "ledger"]), &[]);
    hub.record(now, &datagram(3, &["ledger"]), &[]);
    assert!(!hub.node_reaches(now, Incarnation(2), engine));
    assert!(hub.node_reaches(now, Incarnation(3), engine));
    assert!(!hub.node_reaches(now, Incarnation(9), engine), "never heard from");
    let later = now + Millis(1_000);
    assert!(
        !hub.node_reaches(later, Incarnation(3), engine),
        "no longer heard from"
    );
    let mut sums = hub.zone_digest(now, &Arc::from("zone-0"), &datagram(1, &["ledger", engine]));
    sums.from = 1;
    let mut other = Hub::default();
    other.record(now, &sums, &[]);
    assert!(other.zone_reaches(now, "zone-0", engine));
    assert!(!other.zone_reaches(now, "zone-0", "ledger"));
    assert!(other.zone_reaches(now, "zone-1", "ledger"));
    let mut outside = other.outside_digest(now, 1);
    outside.from = 5;
    let mut member = Hub::default();
    member.record(now, &outside, &[]);
    assert!(!member.zone_reaches(now, "zone-0", "ledger"));
    assert!(member.zone_reaches(now, "zone-0", engine));
}

/// A node that was the hub for a while keeps the sums of that time, and a hub those that it heard from the one before it.
#[test]
fn zone_stays_cut_off_by_sums_of_long_ago() {
    let ledger = CutOff {
        zone: Arc::from("zone-0"),
        endpoint: Arc::from("ledger"),
    };
    let scopes = [
        Scope::Zone(Arc::from("zone-0")),
        Scope::Outside { is_complete: true },
    ];
    for scope in scopes {
        let sums = Datagram {
            from: 1,
            scope: scope.clone(),
            cut_off: vec![ledger.clone()],
            ..Datagram::default()
        };
        let mut hub = Hub::default();
        hub.record(Millis(1_000), &sums, &[]);
        assert!(!hub.zone_reaches(Millis(1_500), "zone-0", "ledger"), "{scope:?}");
        assert!(hub.zone_reaches(Millis(5_000), "zone-0", "ledger"), "{scope:?}");
    }
}

/// The latest statement of a replica to a node of the zone reaches the others, with the sum of what the zone sent to it.
#[test]
fn digest_has_the_latest_rate_limit_and_the_sum_of_requests() {
    let endpoint: Arc<str> = Arc::from("engine");
    let datagram = |from: u64, age, per_s, sent| Datagram {
        from,
        limits: vec![(
            Arc::clone(&endpoint),
            vec![PeerLimit {
                replica: 5,
                per_s,
                age: Millis(age),
                sent,
            }],
        )],
        ..Datagram::default()
    };
    let mut hub = Hub::default();
    for sent in [0, 4] {
        hub.record(Millis(1_000), &datagram(2, 900, Some(1.0), sent), &[]);
        hub.record(Millis(1_000), &datagram(3, 300, None, 2 * sent), &[]);
    }
    let own = datagram(1, u64::MAX, Some(1.0), 3);
    let mut digest = hub.zone_digest(Millis(1_200), &Arc::from("zone-0"), &own);
    digest.from = 1;
    let latest = PeerLimit {
        replica: 5,
        per_s: None,
        age: Millis(500),
        sent: 4 + 8 + 3,
    };
    assert_eq!(digest.limits, [(Arc::clone(&endpoint), vec![latest])]);
    let mut other = Hub::default();
    assert_eq!(other.record(Millis(1_210), &digest, &[]), Use::Baseline);
    let outside = other.outside_digest(Millis(1_310), 1);
    assert_eq!(outside.limits[0].1[0].age, Millis(600));
    assert_eq!(
        outside.limits[0].1[0].sent, 0,
        "nothing is counted of the first sums"
    );
}
