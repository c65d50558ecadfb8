//! Replicas that name rate limits.

use std::sync::Arc;

use base::{Millis, Seed};
use place::{Choice, DispatchOutcome, Part, PeerLimit, Pool, Refusal, ReplicaKey, Spec};
use quota::Group;

use crate::support::{demand, engine_pool, plain_pool, spec};

const NAMED_AT: Millis = Millis(1_000);

/// A pool of two replicas, one of which has named a limit of one request per second.
fn limited_pool() -> (Pool, Choice) {
    let mut pool = plain_pool(Seed(3), 2);
    let choice = pool.choose(NAMED_AT, &demand(&[])).expect("a replica");
    serve(&mut pool, NAMED_AT, &choice);
    assert_eq!(
        pool.record_rate_limit(NAMED_AT, choice.replica, Some(1.0)),
        Some(None)
    );
    (pool, choice)
}

/// Sends a request to the replica, which answers it.
fn serve(pool: &mut Pool, now: Millis, choice: &Choice) {
    let dispatch = pool.send(now, choice, &demand(&[]));
    pool.end(now, dispatch, DispatchOutcome::Answered);
}

fn report(choice: &Choice, per_s: Option<f64>, age: u64) -> PeerLimit {
    PeerLimit {
        replica: place::hash(&choice.id),
        per_s,
        age: Millis(age),
        sent: 0,
    }
}

/// Whether one of many requests at this time goes to the replica.
fn is_chosen(pool: &mut Pool, now: Millis, id: &str) -> bool {
    (0..40).any(|_| {
        let choice = pool.choose(now, &demand(&[]));
        choice.is_ok_and(|choice| &*choice.id == id)
    })
}

#[test]
fn limited_replica_is_spared() {
    let (mut pool, limited) = limited_pool();
    assert!(!is_chosen(&mut pool, Millis(1_500), &limited.id));
    assert!(is_chosen(&mut pool, Millis(2_100), &limited.id));
    serve(&mut pool, Millis(2_100), &limited);
    assert!(!is_chosen(&mut pool, Millis(2_500), &limited.id));
}

#[test]
fn request_is_refused_at_once_if_all_replicas_are_limited() {
    let (mut pool, first) = limited_pool();
    let other = pool.choose(Millis(1_100), &demand(&[])).expect("another replica");
    assert_ne!(other.replica, first.replica);
    serve(&mut pool, Millis(1_100), &other);
    pool.record_rate_limit(Millis(1_100), other.replica, Some(0.5));
    let Err(Refusal::Limited(wait)) = pool.choose(Millis(1_200), &demand(&[])) else {
        panic!("the request is not refused");
    };
    assert!(wait > Millis(700) && wait <= Millis(801), "{wait}");
    let choice = pool.choose(Millis(1_200) + wait + Millis(1), &demand(&[]));
    assert_eq!(choice.map(|it| it.replica), Ok(first.replica));
}

struct Case {
    name: &'static str,
    /// Statement that another node reports at 2,000 ms: the limit and its age.
    report: (Option<f64>, u64),
    /// Whether the replica is limited afterwards.
    is_limited: bool,
}

const CASES: [Case; 4] = [
    Case {
        name: "a later statement that there is no limit",
        report: (None, 100),
        is_limited: false,
    },
    Case {
        name: "an earlier statement that there was no limit",
        report: (None, 1_500),
        is_limited: true,
    },
    Case {
        name: "a later limit",
        report: (Some(0.2), 100),
        is_limited: true,
    },
    Case {
        name: "a node that has heard nothing itself",
        report: (Some(90.0), u64::MAX),
        is_limited: true,
    },
];

#[test]
fn latest_statement_to_any_node_counts() {
    for case in &CASES {
        let (mut pool, limited) = limited_pool();
        let (per_s, age) = case.report;
        pool.record_peer_limits(Millis(2_000), 7, false, &[report(&limited, per_s, age)]);
        serve(&mut pool, Millis(2_000), &limited);
        serve(&mut pool, Millis(2_000), &limited);
        let is_limited = !is_chosen(&mut pool, Millis(2_300), &limited.id);
        assert_eq!(is_limited, case.is_limited, "{}", case.name);
    }
}

#[test]
fn replica_that_names_no_limit_any_more_is_not_limited() {
    let (mut pool, limited) = limited_pool();
    assert_eq!(
        pool.record_rate_limit(Millis(1_200), limited.replica, None),
        Some(Some(1.0))
    );
    assert!(is_chosen(&mut pool, Millis(1_300), &limited.id));
    let reports = pool.rate_limits(Millis(1_300));
    assert_eq!(reports, [report(&limited, None, 100)]);
}

/// A replica that starts again under its id holds and knows nothing of before.
#[test]
fn limit_ends_with_the_run_of_the_replica() {
    let (mut pool, limited) = limited_pool();
    let restarted = Spec {
        started_unix_ms: Some(2),
        ..spec(u16::from(&*limited.id == "i-1"), 6)
    };
    pool.register(Millis(1_500), restarted);
    pool.record_peer_limits(Millis(1_600), 7, false, &[report(&limited, Some(1.0), 300)]);
    assert!(is_chosen(&mut pool, Millis(1_700), &limited.id));
    pool.record_peer_limits(Millis(1_800), 7, false, &[report(&limited, Some(1.0), 50)]);
    assert!(!is_chosen(&mut pool, Millis(1_900), &limited.id));
}

const DAY: Millis = Millis(24 * 3_600 * 1_000);

/// Callers are told to come back sooner than after a long pause: other replicas may have started by then.
#[test]
fn caller_waits_as_long_as_a_replica_rests() {
    let mut pool = plain_pool(Seed(5), 1);
    let choice = pool.choose(NAMED_AT, &demand(&[])).expect("a replica");
    pool.record_pause(NAMED_AT, choice.replica, Millis::NEVER);
    let refusal = pool.choose(NAMED_AT, &demand(&[]));
    assert_eq!(refusal, Err(Refusal::Limited(Millis(60_000))));
}

/// A replica that turned a request away with a time to wait gets none before its end, also as the last one left.
#[test]
fn replica_that_wants_a_pause_receives_requests() {
    struct Case {
        name: &'static str,
        pause: Millis,
        left_out: Millis,
    }
    let cases = [
        Case {
            name: "seconds",
            pause: Millis(2_500),
            left_out: Millis(2_500),
        },
        Case {
            name: "none",
            pause: Millis::ZERO,
            left_out: Millis::ZERO,
        },
        Case {
            name: "minutes",
            pause: Millis(150_000),
            left_out: Millis(150_000),
        },
        Case {
            name: "for ever",
            pause: Millis::NEVER,
            left_out: DAY,
        },
    ];
    for case in cases {
        let mut pool = plain_pool(Seed(5), 2);
        let first = pool.choose(NAMED_AT, &demand(&[])).expect("a replica");
        let left_out = pool.record_pause(NAMED_AT, first.replica, case.pause);
        assert_eq!(left_out, case.left_out, "{}", case.name);
        let other = (0..40).find_map(|_| {
            let choice = pool.choose(NAMED_AT, &demand(&[])).expect("a replica");
            (choice.replica != first.replica).then_some(choice)
        });
        let other = other.expect("the other replica");
        pool.record_pause(NAMED_AT, other.replica, DAY);
        let end = NAMED_AT + case.left_out;
        if case.left_out > Millis::ZERO {
            let before = end - Millis(100);
            assert_eq!(
                pool.choose(before, &demand(&[])),
                Err(Refusal::Limited(Millis(100))),
                "{}",
                case.name
            );
        }
        let choice = pool.choose(end, &demand(&[])).expect("a replica");
        assert!(
            case.left_out == DAY || choice.replica == first.replica,
            "{}",
            case.name
        );
    }
}

/// The registration of a replica goes and comes back, as it does when the store was away or another writer has overwritten it.
#[test]
fn statement_is_forgotten_while_the_registration_is_away() {
    struct Case {
        name: &'static str,
        say: fn(&mut Pool, ReplicaKey),
        /// Whether it says so while its registration is away, to a request from before.
        is_late: bool,
        /// When it started, as its registration says afterwards.
        started_unix_ms: u64,
        is_chosen: bool,
    }
    const PAUSE: fn(&mut Pool, ReplicaKey) = |pool, key| {
        pool.record_pause(NAMED_AT, key, Millis(3_000));
    };
    const LEAVING: fn(&mut Pool, ReplicaKey) = |pool, key| {
        pool.record_leaving(key);
    };
    const LIMIT: fn(&mut Pool, ReplicaKey) = |pool, key| {
        pool.record_rate_limit(NAMED_AT, key, Some(0.0));
    };
    let cases = [
        Case {
            name: "no requests for a while",
            say: PAUSE,
            is_late: false,
            started_unix_ms: 1,
            is_chosen: false,
        },
        Case {
            name: "leaving",
            say: LEAVING,
            is_late: false,
            started_unix_ms: 1,
            is_chosen: false,
        },
        Case {
            name: "rate limit",
            say: LIMIT,
            is_late: false,
            started_unix_ms: 1,
            is_chosen: false,
        },
        Case {
            name: "late: no requests for a while",
            say: PAUSE,
            is_late: true,
            started_unix_ms: 1,
            is_chosen: false,
        },
        Case {
            name: "late: leaving",
            say: LEAVING,
            is_late: true,
            started_unix_ms: 1,
            is_chosen: false,
        },
        Case {
            name: "started again",
            say: PAUSE,
            is_late: false,
            started_unix_ms: 2,
            is_chosen: true,
        },
        Case {
            name: "started again after it left",
            say: LEAVING,
            is_late: false,
            started_unix_ms: 2,
            is_chosen: true,
        },
    ];
    for case in cases {
        let mut pool = plain_pool(Seed(5), 2);
        let choice = pool.choose(NAMED_AT, &demand(&[])).expect("a replica");
        if !case.is_late {
            (case.say)(&mut pool, choice.replica);
        }
        let registered = pool.specs().find(|it| it.id == choice.id).cloned();
        pool.remove(&choice.id);
        if case.is_late {
            (case.say)(&mut pool, choice.replica);
        }
        assert!(!is_chosen(&mut pool, Millis(1_200), &choice.id), "{}", case.name);
        let spec = Spec {
            started_unix_ms: Some(case.started_unix_ms),
            ..registered.expect("a registration")
        };
        pool.register(Millis(1_500), spec);
        let is_chosen = is_chosen(&mut pool, Millis(2_000), &choice.id);
        assert_eq!(is_chosen, case.is_chosen, "{}", case.name);
    }
}

/// Prompts of forty sessions at twelve replicas, half of which name limits: each is processed by its home and by one other
/// replica, not wherever a limited one has room.
#[test]
fn limited_replicas_process_the_prompts_of_others() {
    const REPLICAS: u16 = 12;
    const SESSIONS: u64 = 40;
    let mut pool = engine_pool(Seed(9), REPLICAS);
    let mut served: Vec<(u64, Arc<str>)> = Vec::new();
    for number in 0..4_000 {
        let now = Millis(number * 20);
        let session = number * 17 % SESSIONS;
        let parts = [
            Part {
                id: 1_000 + session,
                tokens: 13_000,
            },
            Part {
                id: 100_000 + number,
                tokens: 500,
            },
        ];
        let demand = demand(&parts);
        let choice = pool.choose(now, &demand).expect("the others take requests");
        let dispatch = pool.send(now, &choice, &demand);
        pool.begin_answer(now, dispatch);
        pool.end(now, dispatch, DispatchOutcome::Answered);
        let is_limited = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"].contains(&&*choice.id);
        pool.record_rate_limit(now, choice.replica, is_limited.then_some(1.0));
        let pair = (session, choice.id);
        if now >= Millis(10_000) && !served.contains(&pair) {
            served.push(pair);
        }
    }
    let copies = served.len() as f64 / SESSIONS as f64;
    // Two for each prompt whose home is limited.
    assert!(copies <= 1.5, "{copies} copies of each shared part");
}

/// Numbers of replicas, one of which names a limit of one request per second.
const POOL_SIZES: [u16; 3] = [2, 6, 40];
const NODES: u64 = 9;

/// Nine nodes with more requests for the replica than its limit keep to it together, and use it.
#[test]
fn nodes_keep_to_a_limit_together() {
    for replicas in POOL_SIZES {
        for seed in 0..4 {
            let sent = send_to_limited(replicas, seed);
            let bound: Vec<Millis> = sent.into_iter().filter(|at| *at >= Millis(3_000)).collect();
            let in_window = |start: &Millis| {
                let window = bound
                    .iter()
                    .filter(|at| *at >= start && at.since(*start) < Millis(4_000));
                window.count()
            };
            let max = bound.iter().map(in_window).max().unwrap_or(0);
            assert!(
                max <= 11,
                "{replicas} replicas, seed {seed}: {max} requests in 4 s"
            );
            assert!(
                bound.len() >= 20,
                "{replicas} replicas, seed {seed}: only {} requests in 27 s",
                bound.len()
            );
        }
    }
}

/// Sends a request every 10 ms for 30 s, and returns when one went to the replica that names a limit.
fn send_to_limited(replicas: u16, seed: u64) -> Vec<Millis> {
    let group = Group {
        nodes: NODES as usize,
        report_delay: Millis(70),
        is_connected: true,
    };
    let mut pools: Vec<Pool> = (0..NODES)
        .map(|node| plain_pool(Seed(seed * NODES + node), replicas))
        .collect();
    for pool in &mut pools {
        pool.set_group(group);
    }
    let mut sent: Vec<Millis> = Vec::new();
    for now in (0..30_000).step_by(10).map(Millis) {
        if now.0.is_multiple_of(50) {
            for from in 0..NODES {
                let reports = pools[from as usize].rate_limits(now);
                for to in (0..NODES).filter(|to| *to != from) {
                    pools[to as usize].record_peer_limits(now, from, false, &reports);
                }
            }
        }
        let pool = &mut pools[(now.0 / 10 * 7 % NODES) as usize];
        let choice = pool
            .choose(now, &demand(&[]))
            .expect("the other replicas take requests");
        if &*choice.id == "i-0" {
            sent.push(now);
        }
        serve(pool, now, &choice);
        if &*choice.id == "i-0" {
            pool.record_rate_limit(now, choice.replica, Some(1.0));
        }
    }
    sent
}
