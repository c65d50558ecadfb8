//! Who reads the store and who asks whom.

use base::{Incarnation, Millis};
use relay::{Candidate, Failure, Path, Source};

const SMALL: u32 = 120;
const LARGE: u32 = 500;

fn zone(nodes: u64) -> Vec<Candidate> {
    let candidate = |node| Candidate {
        node: Incarnation(node),
        capacity: SMALL,
    };
    (1..=nodes).map(candidate).collect()
}

fn sources(zone: &[Candidate]) -> Vec<Source> {
    let source = |it: &Candidate| Path::new(it.node).source(Millis(1), zone, false);
    zone.iter().map(source).collect()
}

struct Case {
    nodes: u64,
    readers: usize,
}

const CASES: [Case; 5] = [
    Case { nodes: 1, readers: 1 },
    Case { nodes: 3, readers: 3 },
    Case { nodes: 4, readers: 1 },
    Case {
        nodes: 34,
        readers: 1,
    },
    Case {
        nodes: 88,
        readers: 2,
    },
];

#[test]
fn number_of_readers_in_a_zone() {
    for case in &CASES {
        let zone = zone(case.nodes);
        let sources = sources(&zone);
        let readers = sources.iter().filter(|it| **it == Source::Store).count();
        assert_eq!(readers, case.readers, "{} nodes", case.nodes);
        for (candidate, source) in zone.iter().zip(&sources) {
            let Source::Peer(reader) = source else { continue };
            let position = zone.iter().position(|it| it.node == *reader).unwrap();
            assert_eq!(
                sources[position],
                Source::Store,
                "{:?} asks {reader}",
                candidate.node
            );
        }
    }
}

#[test]
fn askers_spread_over_the_readers() {
    let mut asked = std::collections::BTreeMap::new();
    for source in sources(&zone(180)) {
        if let Source::Peer(reader) = source {
            *asked.entry(reader.0).or_insert(0) += 1;
        }
    }
    assert_eq!(asked.len(), 4);
    assert!(
        asked.values().all(|askers| (20..80).contains(askers)),
        "{asked:?}"
    );
}

#[test]
fn large_nodes_read_for_small_ones() {
    let mut zone = zone(30);
    zone[17].capacity = LARGE;
    let reader = zone[17].node;
    for (candidate, source) in zone.iter().zip(sources(&zone)) {
        let expected = if candidate.node == reader {
            Source::Store
        } else {
            Source::Peer(reader)
        };
        assert_eq!(source, expected);
    }
}

#[test]
fn node_that_is_asked_reads() {
    let zone = zone(30);
    for candidate in &zone {
        let source = Path::new(candidate.node).source(Millis(1), &zone, true);
        assert_eq!(source, Source::Store);
    }
}

/// An asker in a zone of 30 nodes, with its reader.
fn asker() -> (Path, Vec<Candidate>, Incarnation) {
    let zone = zone(30);
    for candidate in &zone {
        let mut path = Path::new(candidate.node);
        if let Source::Peer(reader) = path.source(Millis(1), &zone, false) {
            return (path, zone, reader);
        }
    }
    panic!("every node reads");
}

#[test]
fn unreachable_reader_is_replaced_after_one_call_to_the_store() {
    let (mut path, zone, reader) = asker();
    path.record_peer_failure(Millis(1_000), reader, Failure::Unreachable);
    assert_eq!(path.source(Millis(1_000), &zone, false), Source::Store);
    path.record_success(Millis(1_010), Source::Store);
    let Source::Peer(next) = path.source(Millis(1_010), &zone, false) else {
        panic!("the next reader is asked");
    };
    assert_ne!(next, reader);
    // Asked again after a while, and for longer each time that it fails.
    assert_eq!(path.source(Millis(5_100), &zone, false), Source::Peer(reader));
    path.record_peer_failure(Millis(5_100), reader, Failure::Unreachable);
    path.record_success(Millis(5_110), Source::Store);
    assert_eq!(path.source(Millis(10_000), &zone, false), Source::Peer(next));
    assert_eq!(path.source(Millis(13_200), &zone, false), Source::Peer(reader));
}

#[test]
fn reader_without_access_is_replaced_if_the_store_serves_the_asker() {
    let (mut path, zone, reader) = asker();
    path.record_peer_failure(Millis(1_000), reader, Failure::Unavailable);
    assert_eq!(path.source(Millis(1_000), &zone, false), Source::Store);
    path.record_success(Millis(1_010), Source::Store);
    let source = path.source(Millis(1_010), &zone, false);
    assert!(matches!(source, Source::Peer(next) if next != reader));
}

#[test]
fn askers_rarely_call_a_store_that_is_down() {
    let (mut path, zone, reader) = asker();
    let mut calls = 0;
    for now in (1_000..11_000).step_by(300).map(Millis) {
        match path.source(now, &zone, false) {
            Source::Store => {
                calls += 1;
                path.record_store_failure(now);
            }
            Source::Peer(asked) => {
                assert_eq!(asked, reader, "an outage is no reason to ask another node");
                path.record_peer_failure(now, asked, Failure::Unavailable);
            }
        }
    }
    assert!((3..=7).contains(&calls), "{calls} calls in 10 s");
}

#[test]
fn store_is_read_if_no_node_answers() {
    let (mut path, zone, _reader) = asker();
    let mut now = Millis(1_000);
    while let Source::Peer(asked) = path.source(now, &zone, false) {
        path.record_peer_failure(now, asked, Failure::Unreachable);
        assert_eq!(path.source(now, &zone, false), Source::Store);
        path.record_success(now, Source::Store);
        now = now + Millis(20);
    }
}
