//! What nodes send each other and keep in the store, as builds of earlier landings wrote it (`builds/`, named by commit). If a test
//! fails since a format has grown, the files of the last landing with the old form are added and the new form is compared with what
//! it extends; the files that are there stay.

use std::fmt::Debug;
use std::fs;
use std::path::Path;
use std::sync::Arc;

use base::{Incarnation, Millis, Revision};
use bytes::Bytes;
use entry::peers::{CutOff, Datagram, Scope, Unreachable};
use entry::publish::{Comparison, Report, Summary};
use entry::view::{Peer, Rollout, Stage};
use place::{PeerLimit, PeerLoad};
use relay::{Answer, Change, Query, Uptime};
use rollout::Exclusions;

/// Landings that first wrote the forms that are recorded, oldest first.
const LANDINGS: [&str; 3] = ["f6ea3c2", "84aa8d1", "8742da2"];
/// The last one. This build writes what it wrote, and the datagram's later field after that.
const LAST: &str = "8742da2";

fn path(landing: &str, name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/builds/{landing}-{name}"))
}

/// Recorded bytes, which the file has in hexadecimal.
fn recorded(landing: &str, name: &str) -> Vec<u8> {
    let path = path(landing, &format!("{name}.hex"));
    let text = fs::read_to_string(&path).expect("a recorded message");
    let digits: Vec<u32> = text.chars().filter_map(|digit| digit.to_digit(16)).collect();
    digits
        .chunks(2)
        .map(|pair| (pair[0] * 16 + pair[1]) as u8)
        .collect()
}

/// A recorded record of the store.
fn record(landing: &str, name: &str) -> String {
    let path = path(landing, &format!("{name}.json"));
    let text = fs::read_to_string(&path).expect("a recorded record");
    text.trim_end().to_owned()
}

fn strings<const N: usize>(names: [&str; N]) -> [Arc<str>; N] {
    names.map(Arc::from)
}

/// The datagram as a build of the landing knows it: the last fields came with later ones.
fn datagram(landing: &str) -> Datagram {
    let [zone, endpoint, workspace] = strings(["zone-2", "ledger", "tills"]);
    let load = PeerLoad {
        replica: 9,
        in_flight: 3,
        unread_tokens: 4_000,
    };
    let limit = PeerLimit {
        replica: 9,
        per_s: Some(2.5),
        age: Millis(40),
        sent: 17,
    };
    let poison = poison::Digest {
        crashes: vec![poison::Crash {
            replica: 9,
            age: Millis(40),
            parts: vec![11, 12],
        }],
        survivals: vec![poison::Survival {
            part: 12,
            age: Millis(5),
        }],
        blocks: vec![poison::Block {
            parts: vec![11],
            age: Millis(900),
            is_lifted: false,
        }],
    };
    let cut_off = vec![CutOff {
        zone: Arc::clone(&zone),
        endpoint: Arc::clone(&endpoint),
    }];
    Datagram {
        from: 7,
        number: 300,
        scope: Scope::Zone(Arc::clone(&zone)),
        used: vec![(workspace, 12_000)],
        loads: vec![(Arc::clone(&endpoint), vec![load])],
        unreachable: vec![Unreachable {
            zone,
            endpoint: Arc::clone(&endpoint),
            replicas: vec![10, 11],
        }],
        uptime: Some(Uptime {
            first: Millis(60_000),
            last: Millis(20),
        }),
        limits: vec![(endpoint, vec![limit])],
        poison: if landing == "f6ea3c2" {
            poison::Digest::default()
        } else {
            poison
        },
        cut_off: if landing == LAST { cut_off } else { Vec::new() },
        paces: Vec::new(),
    }
}

fn summary() -> Summary {
    let [endpoint, workspace] = strings(["ledger", "tills"]);
    let mut report = Report {
        number: 5,
        ..Report::default()
    };
    report.counts.add(3, &workspace);
    let load = fleet::capacity::Load {
        own: 1.5,
        shared: 0.5,
        slots: 2.0,
    };
    report.busy.insert(Arc::clone(&endpoint), load);
    let comparison = Comparison {
        order: 4,
        old_in_flight: 2,
        ..Comparison::default()
    };
    report.rollouts.insert(endpoint, comparison);
    let mut summary = Summary::default();
    summary.insert(Incarnation(7), Arc::new(report));
    summary
}

fn answer() -> Answer {
    let changes = vec![
        Change {
            key: "operator/configuration".to_owned(),
            revision: Revision::new(1, 9),
            value: Some(Bytes::from_static(b"{}")),
        },
        Change {
            key: "replicas/i-1".to_owned(),
            revision: Revision::new(1, 10),
            value: None,
        },
    ];
    Answer::Changes {
        changes,
        revision: Revision::new(1, 12),
        is_difference: false,
        is_confirmed: true,
    }
}

fn registration() -> Peer {
    Peer {
        name: "node-1".to_owned(),
        zone: "zone-1".to_owned(),
        address: "127.0.0.1:8000".parse().expect("an address"),
        peer_address: "127.0.0.1:8001".parse().expect("an address"),
        ready: true,
        capacity: 120,
        lease: 77,
    }
}

fn rollout() -> Rollout {
    let [from, target] = strings(["v1", "v2"]);
    Rollout {
        from,
        target,
        order: 41,
        since_ms: 1_800_000_000_000,
        stage_since_ms: 1_800_000_001_000,
        stage: Stage::Moved,
        share: 0.25,
        answered_at_move: 60,
        excluded: Exclusions::new(),
        reason: "share served".to_owned(),
        other: serde_json::Map::new(),
    }
}

#[test]
fn datagrams_of_earlier_builds_are_read_differently() {
    for landing in LANDINGS {
        let decoded = Datagram::decode(&recorded(landing, "datagram"));
        assert_eq!(decoded, Ok(datagram(landing)), "{landing}");
    }
}

/// Builds of the landings ignore what follows the fields that they know.
#[test]
fn earlier_builds_read_other_fields_in_datagrams() {
    let bytes = datagram(LAST).encode().expect("bytes");
    // The samples of the replicas' speed came later; they are empty here.
    let extended = [recorded(LAST, "datagram"), vec![0]].concat();
    assert_eq!(bytes, extended);
    for landing in LANDINGS {
        assert!(bytes.starts_with(&recorded(landing, "datagram")), "{landing}");
    }
}

#[test]
fn reports_have_another_form() {
    for landing in LANDINGS {
        let bytes = recorded(landing, "summary");
        assert_eq!(Summary::decode(&bytes), Ok(summary()), "{landing}");
        assert_eq!(summary().encode(), Ok(bytes), "{landing}");
    }
}

/// Questions of f6ea3c2 have a path of their own, which this build does not serve.
#[test]
fn questions_and_answers_have_another_form() {
    for landing in &LANDINGS[1..] {
        let query = Query {
            after: Revision::new(1, 8),
        };
        assert_form(&query, &recorded(landing, "query"));
        assert_form(&answer(), &recorded(landing, "answer"));
    }
}

fn assert_form<T>(value: &T, bytes: &[u8])
where
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + Debug,
{
    assert_eq!(postcard::from_bytes::<T>(bytes).as_ref(), Ok(value));
    assert_eq!(postcard::to_stdvec(value).as_deref(), Ok(bytes));
}

#[test]
fn stored_records_have_another_form() {
    for landing in LANDINGS {
        let text = record(landing, "registration");
        let stored: Peer = serde_json::from_str(&text).expect("a registration");
        assert_eq!(stored, registration(), "{landing}");
        assert_eq!(
            serde_json::to_string(&stored).expect("a record"),
            text,
            "{landing}"
        );
        let text = record(landing, "rollout");
        let stored: Rollout = serde_json::from_str(&text).expect("a record of a rollout");
        assert_eq!(stored, rollout(), "{landing}");
        assert_eq!(
            serde_json::to_string(&stored).expect("a record"),
            text,
            "{landing}"
        );
    }
}

/// Guards against excluded versions that get lost between builds: those of d0010ca on keep fields that they don't know.
#[test]
fn excluded_versions_of_a_rollout_are_lost() {
    let earlier = serde_json::to_string(&rollout()).expect("a record");
    assert!(!earlier.contains("excluded"), "{earlier}");
    let mut excluded = Exclusions::new();
    excluded.insert(&Arc::from("v0"));
    let record = Rollout {
        excluded,
        ..rollout()
    };
    let text = serde_json::to_string(&record).expect("a record");
    assert!(text.contains(r#""excluded":["v0"]"#), "{text}");
    assert_eq!(serde_json::from_str::<Rollout>(&text).expect("a record"), record);
}
