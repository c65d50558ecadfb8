//! Blame and blocks, by cases.

use base::Millis;
use poison::{Block, Crash, Detector, Digest, Survival, Suspects};

const BAD: u64 = 0xbad;
const SHARED: u64 = 1;
const OTHER: u64 = 2;

/// What a node observes, in order, 600 ms apart.
enum Step {
    /// A replica crashes under a request.
    Crash(u64, &'static [u64]),
    /// A request is processed.
    Survival(&'static [u64]),
    /// A replica crashes at the time of the step before.
    Also(u64, &'static [u64]),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Requests that are refused then.
    refused: &'static [&'static [u64]],
    /// Requests that are not.
    served: &'static [&'static [u64]],
}

const CASES: [Case; 12] = [
    Case {
        name: "two crashes are too few",
        steps: &[Step::Crash(1, &[BAD]), Step::Crash(2, &[BAD])],
        refused: &[],
        served: &[&[BAD]],
    },
    Case {
        name: "three replicas crash under one part",
        steps: &[
            Step::Crash(1, &[BAD]),
            Step::Crash(2, &[BAD]),
            Step::Crash(3, &[BAD]),
        ],
        refused: &[&[BAD], &[BAD, OTHER]],
        served: &[&[OTHER]],
    },
    Case {
        name: "one replica's crash counts once, however many requests it had",
        steps: &[
            Step::Crash(1, &[BAD]),
            Step::Also(1, &[BAD, OTHER]),
            Step::Also(1, &[BAD, SHARED]),
        ],
        refused: &[],
        served: &[&[BAD]],
    },
    Case {
        name: "a part that sound requests share is not blamed",
        steps: &[
            Step::Survival(&[SHARED]),
            Step::Crash(1, &[SHARED, BAD]),
            Step::Crash(2, &[SHARED, BAD]),
            Step::Crash(3, &[SHARED, BAD]),
        ],
        refused: &[&[SHARED, BAD]],
        served: &[&[SHARED], &[SHARED, OTHER]],
    },
    Case {
        name: "a shared part of which nothing else is known is not blamed alone",
        steps: &[
            Step::Crash(1, &[SHARED, BAD]),
            Step::Crash(2, &[SHARED, BAD]),
            Step::Crash(3, &[SHARED, BAD]),
        ],
        refused: &[&[SHARED, BAD]],
        served: &[&[SHARED], &[SHARED, OTHER]],
    },
    Case {
        name: "the bad part is the first",
        steps: &[
            Step::Crash(1, &[BAD, 10]),
            Step::Crash(2, &[BAD, 11]),
            Step::Crash(3, &[BAD, 12]),
        ],
        refused: &[&[BAD, 13]],
        served: &[&[SHARED, 10]],
    },
    Case {
        name: "a request that is processed in between exonerates",
        steps: &[
            Step::Crash(1, &[OTHER]),
            Step::Crash(2, &[OTHER]),
            Step::Survival(&[OTHER]),
            Step::Crash(3, &[OTHER]),
        ],
        refused: &[],
        served: &[&[OTHER]],
    },
    Case {
        name: "bystanders of explained crashes are not blamed",
        steps: &[
            Step::Crash(1, &[BAD]),
            Step::Crash(2, &[BAD]),
            Step::Crash(3, &[BAD]),
            Step::Crash(4, &[BAD]),
            Step::Also(4, &[OTHER]),
            Step::Crash(5, &[BAD]),
            Step::Also(5, &[OTHER]),
            Step::Crash(6, &[BAD]),
            Step::Also(6, &[OTHER]),
        ],
        refused: &[&[BAD]],
        served: &[&[OTHER]],
    },
    Case {
        name: "a part that was sound before is blamed after more crashes",
        steps: &[
            Step::Survival(&[BAD]),
            Step::Crash(1, &[BAD]),
            Step::Crash(2, &[BAD]),
            Step::Crash(3, &[BAD]),
            Step::Crash(4, &[BAD]),
            Step::Crash(5, &[BAD]),
            Step::Crash(6, &[BAD]),
        ],
        refused: &[&[BAD]],
        served: &[&[OTHER]],
    },
    Case {
        name: "many replicas that crash at once do not blame a common part",
        steps: &[
            Step::Crash(1, &[OTHER]),
            Step::Also(2, &[OTHER]),
            Step::Also(3, &[OTHER]),
            Step::Also(4, &[SHARED]),
            Step::Also(5, &[20]),
            Step::Also(6, &[21]),
        ],
        refused: &[],
        served: &[&[OTHER]],
    },
    Case {
        name: "many replicas that crash at once blame the part that all have",
        steps: &[
            Step::Crash(1, &[BAD, 20]),
            Step::Also(2, &[BAD, 21]),
            Step::Also(3, &[BAD, 22]),
            Step::Also(3, &[OTHER]),
        ],
        refused: &[&[BAD]],
        served: &[&[OTHER], &[20]],
    },
    Case {
        name: "a blocked request that is processed after all lifts the block",
        steps: &[
            Step::Crash(1, &[OTHER]),
            Step::Crash(2, &[OTHER]),
            Step::Crash(3, &[OTHER]),
            Step::Survival(&[OTHER, SHARED]),
        ],
        refused: &[],
        served: &[&[OTHER]],
    },
];

#[test]
fn blocks() {
    for case in &CASES {
        let mut detector = Detector::new(Millis(1_000));
        let mut now = Millis(1_000_000);
        for step in case.steps {
            now = now + Millis(600);
            match step {
                Step::Crash(replica, parts) => drop(detector.record_crash(now, *replica, parts)),
                Step::Survival(parts) => drop(detector.record_survival(now, parts)),
                Step::Also(replica, parts) => {
                    now = now - Millis(600);
                    drop(detector.record_crash(now, *replica, parts));
                }
            }
        }
        now = now + Millis(600);
        detector.review(now);
        for parts in case.refused {
            assert!(
                detector.blocked_for(now, parts).is_some(),
                "{}: {parts:?}",
                case.name
            );
        }
        for parts in case.served {
            assert_eq!(detector.blocked_for(now, parts), None, "{}: {parts:?}", case.name);
        }
    }
}

/// A combination that turns out to be too narrow is widened by the first crash outside of it.
#[test]
fn combination_is_widened() {
    let mut detector = Detector::new(Millis(1_000));
    let mut now = Millis(1_000_000);
    for replica in 1..=3 {
        now = now + Millis(600);
        detector.record_crash(now, replica, &[SHARED, BAD]);
    }
    assert_eq!(detector.blocked_for(now, &[OTHER, BAD]), None);
    detector.record_crash(now, 4, &[OTHER, BAD]);
    assert!(detector.blocked_for(now, &[9, BAD]).is_some());
    assert_eq!(detector.blocked_for(now, &[SHARED, OTHER]), None);
}

/// Nodes add up what each has seen, and hear of blocks and of lifted ones.
#[test]
fn digests() {
    let mut nodes = [
        Detector::new(Millis(1_000)),
        Detector::new(Millis(1_000)),
        Detector::new(Millis(1_000)),
    ];
    let mut now = Millis(1_000_000);
    for (index, node) in nodes.iter_mut().enumerate() {
        now = now + Millis(600);
        node.record_crash(now, index as u64, &[SHARED, BAD]);
    }
    let digests: Vec<Digest> = nodes.iter().map(|node| node.digest(now)).collect();
    let later = now + Millis(50);
    for digest in &digests {
        nodes[0].record_digest(later, digest);
    }
    assert!(nodes[0].blocked_for(later, &[SHARED, BAD]).is_some());
    assert_eq!(nodes[1].blocked_for(later, &[SHARED, BAD]), None);
    let digest = nodes[0].digest(later);
    let changes = nodes[1].record_digest(later, &digest);
    assert_eq!(changes.len(), 1);
    assert!(nodes[1].blocked_for(later, &[SHARED, BAD]).is_some());
    assert!(nodes[1].record_digest(later, &digest).is_empty(), "told twice");
    let after = later + Millis(100);
    let changes = nodes[1].record_survival(after, &[SHARED, BAD]);
    assert!(changes.iter().any(|change| !change.is_blocked));
    let digest = nodes[1].digest(after);
    let mut now = after + Millis(10);
    nodes[0].record_digest(now, &digest);
    assert_eq!(nodes[0].blocked_for(now, &[SHARED, BAD]), None);
    let stale = nodes[2].digest(after);
    now = now + Millis(10);
    nodes[0].record_digest(now, &stale);
    assert_eq!(nodes[0].blocked_for(now, &[SHARED, BAD]), None);
}

/// What other nodes say is bounded and may be nonsense.
#[test]
fn digests_are_bounded() {
    let mut detector = Detector::new(Millis(1_000));
    let now = Millis(1_000_000);
    for number in 0..400 {
        let digest = Digest {
            crashes: vec![Crash {
                replica: number,
                age: Millis(number),
                parts: (0..40).map(|part| part * number).collect(),
            }],
            survivals: vec![Survival {
                part: number,
                age: Millis::NEVER,
            }],
            blocks: vec![Block {
                parts: vec![number],
                age: Millis(number),
                is_lifted: number % 2 == 0,
            }],
        };
        detector.record_digest(now, &digest);
    }
    let digest = detector.digest(now);
    assert!(digest.crashes.len() <= 6 && digest.blocks.len() <= 8 && digest.survivals.len() <= 8);
    assert!(digest.crashes.iter().all(|crash| crash.parts.len() <= 8));
}

/// A node that has just started blocks nothing by itself, but follows the others.
#[test]
fn new_node_follows_others() {
    let started = Millis(1_000_000);
    let mut old = Detector::new(Millis(1_000));
    let mut new = Detector::new(started);
    let mut now = started;
    for replica in 1..=3 {
        now = now + Millis(600);
        old.record_crash(now, replica, &[BAD]);
        new.record_crash(now, replica, &[BAD]);
    }
    assert_eq!(new.blocked_for(now, &[BAD]), None);
    new.record_digest(now, &old.digest(now));
    assert!(new.blocked_for(now, &[BAD]).is_some());
}

/// A block ends, and so do the crashes that led to it.
#[test]
fn block_ends() {
    let mut detector = Detector::new(Millis(1_000));
    let mut now = Millis(1_000_000);
    for replica in 1..=3 {
        now = now + Millis(600);
        detector.record_crash(now, replica, &[BAD]);
    }
    let wait = detector.blocked_for(now, &[BAD]).expect("a block");
    assert_eq!(detector.blocked_for(now + wait, &[BAD]), None);
}

/// Id of a request that comes again and again.
const REQUEST: u64 = 0x77;

/// A request that is alike each time is blocked together with a part of which nothing else is known, and the part alone once
/// another request with it crashes a replica.
#[test]
fn repeated_request_hides_the_part_that_crashes() {
    let mut detector = Detector::new(Millis(1_000));
    let mut now = Millis(1_000_000);
    for replica in 1..=3 {
        now = now + Millis(600);
        detector.record_crash(now, replica, &[REQUEST, BAD]);
    }
    assert!(detector.blocked_for(now, &[REQUEST, BAD]).is_some());
    assert_eq!(detector.blocked_for(now, &[OTHER, BAD]), None);
    detector.record_crash(now + Millis(600), 4, &[OTHER, BAD]);
    assert!(detector.blocked_for(now + Millis(600), &[9, BAD]).is_some());
}

/// A request of which all is known to be sound but the request itself.
#[test]
fn repeated_request_is_put_down_to_its_parts() {
    let mut detector = Detector::new(Millis(1_000));
    let mut now = Millis(1_000_000);
    for replica in 1..=3 {
        now = now + Millis(600);
        detector.record_processed(now - Millis(1), &Suspects::new(OTHER, [SHARED]));
        detector.record_crash(now, replica, &[REQUEST, SHARED]);
    }
    assert!(detector.blocked_for(now, &[REQUEST, SHARED]).is_some());
    assert_eq!(detector.blocked_for(now, &[9, SHARED]), None);
}

/// A popular request that was in flight at all replicas when they were lost at once.
#[test]
fn popular_request_is_blocked_when_all_replicas_are_lost_at_once() {
    let mut detector = Detector::new(Millis(1_000));
    let now = Millis(1_000_000);
    detector.record_processed(now, &Suspects::new(REQUEST, []));
    for replica in 1..=12 {
        detector.record_crash(now + Millis(100 + replica), replica, &[REQUEST]);
    }
    let later = now + Millis(2_000);
    detector.review(later);
    assert_eq!(detector.blocked_for(later, &[REQUEST]), None);
}

/// One node sees the crashes, another one sees the request processed in between: all nodes hear of it.
#[test]
fn request_processed_at_another_node_is_blocked() {
    let mut nodes = [
        Detector::new(Millis(1_000)),
        Detector::new(Millis(1_000)),
        Detector::new(Millis(1_000)),
    ];
    let mut now = Millis(1_000_000);
    for replica in 1..=6 {
        now = now + Millis(600);
        nodes[0].record_crash(now, replica, &[REQUEST]);
        exchange(&mut nodes, now);
        if replica % 2 == 0 {
            now = now + Millis(600);
            nodes[1].record_processed(now, &Suspects::new(REQUEST, []));
            exchange(&mut nodes, now);
        }
    }
    for node in &nodes {
        assert_eq!(node.blocked_for(now, &[REQUEST]), None);
    }
}

fn exchange(nodes: &mut [Detector], now: Millis) {
    for from in 0..nodes.len() {
        let digest = nodes[from].digest(now);
        for (to, node) in nodes.iter_mut().enumerate() {
            if to != from {
                node.record_digest(now + Millis(20), &digest);
            }
        }
    }
}

/// Datagrams that a node reads only after it was suspended have wrong ages: what they tell looks later than it was.
#[test]
fn crash_that_is_told_late_counts_again() {
    let mut teller = Detector::new(Millis(1_000));
    let mut suspended = Detector::new(Millis(1_000));
    let now = Millis(1_000_000);
    teller.record_crash(now, 1, &[REQUEST]);
    teller.record_crash(now + Millis(700), 2, &[REQUEST]);
    for waited in [0, 1_500, 3_000, 4_500] {
        let told = teller.digest(now + Millis(800));
        suspended.record_digest(now + Millis(800 + waited), &told);
    }
    assert_eq!(suspended.blocked_for(now + Millis(6_000), &[REQUEST]), None);
}

/// One that was exonerated of a replica's crash, before the replica really crashed under it.
#[test]
fn second_loss_at_the_same_replica_is_not_counted() {
    let mut detector = Detector::new(Millis(1_000));
    let mut now = Millis(1_000_000);
    for replica in 1..=3 {
        detector.record_crash(now, replica, &[REQUEST]);
    }
    now = now + Millis(600);
    detector.record_processed(now, &Suspects::new(REQUEST, []));
    for replica in 1..=6 {
        now = now + Millis(600);
        detector.record_crash(now, replica, &[REQUEST]);
    }
    assert!(detector.blocked_for(now, &[REQUEST]).is_some());
}

/// Whoever completes the count comes to the block by itself, even if it takes the crashes that another node has seen; whoever is
/// told the block does not.
#[test]
fn block_by_the_crashes_of_two_nodes_is_its_own() {
    let now = Millis(10_000);
    let mut nodes = [Detector::new(Millis::ZERO), Detector::new(Millis::ZERO)];
    for (index, node) in nodes.iter_mut().enumerate() {
        for number in 0..4 {
            let changes = node.record_crash(now, 4 * index as u64 + number, &[BAD]);
            assert_eq!(changes, [], "node {index}, crash {number}");
        }
    }
    let digest = nodes[1].digest(now);
    let changes = nodes[0].record_digest(now, &digest);
    let [found] = changes.as_slice() else {
        panic!("{changes:?}");
    };
    assert!(found.is_own && found.is_blocked, "{found:?}");
    let digest = nodes[0].digest(now);
    let changes = nodes[1].record_digest(now, &digest);
    let [told] = changes.as_slice() else {
        panic!("{changes:?}");
    };
    assert!(!told.is_own && told.is_blocked, "{told:?}");
}

/// Guards against a node that loops for ever once more different requests have crashed replicas than there is room for blocks; each
/// must be refused once it has crashed three.
#[test]
fn many_different_requests_crash_replicas_and_the_detector_never_ends() {
    const REQUESTS: u64 = 300;
    const STEP: Millis = Millis(1_500);
    let mut detector = Detector::new(Millis(0));
    let mut now = Millis(10_000);
    let mut most = 0;
    for number in 0..REQUESTS {
        let id = 10_000 + number;
        for crash in 0..3 {
            let changes = detector.record_crash(now, number * 3 + crash, &[id]);
            most = most.max(changes.len());
            now = now + STEP;
        }
        most = most.max(detector.review(now).len());
        assert!(detector.blocked_for(now, &[id]).is_some(), "request {number}");
    }
    assert!(most <= 2, "{most} changes at once");
    assert!(detector.blocked_for(now, &[1]).is_none());
}

/// Guards against the same with blocks of other nodes that are as new as this node's.
#[test]
fn blocks_of_other_nodes_leave_no_room_and_the_detector_never_ends() {
    const BLOCKS: u64 = 500;
    let mut detector = Detector::new(Millis(0));
    let now = Millis(10_000);
    let block = |id| Block {
        parts: vec![id],
        age: Millis(0),
        is_lifted: false,
    };
    let digest = Digest {
        blocks: (0..BLOCKS).map(block).collect(),
        ..Digest::default()
    };
    detector.record_digest(now, &digest);
    for number in 0..80 {
        let id = 10_000 + number;
        for crash in 0..3 {
            detector.record_crash(now, 100_000 + number * 3 + crash, &[id]);
        }
    }
    let later = now + Millis(700);
    let changes = detector.review(later);
    assert!(changes.len() <= 160, "{} changes", changes.len());
}
