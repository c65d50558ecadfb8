//! Replica selection, with simulated answers and loads of the replicas.

use std::sync::Arc;

use base::{Millis, Seed};
use place::{Demand, DispatchOutcome, Load, Part, PeerReport, Pool, Refusal, Settings, State, VersionFilter};
use rand::RngExt;

use crate::support::{demand, engine_pool, plain_pool, spec};

/// Six nodes that have just started send prompts with long shared prefixes. Each prefix must be processed by about one
/// replica, not by one replica per node.
#[test]
fn a_shared_prefix_is_prefilled_about_once_with_cold_caches() {
    const NODES: u64 = 6;
    const PREFIXES: u64 = 60;
    let mut pools: Vec<Pool> = (0..NODES).map(|node| engine_pool(Seed(node), 12)).collect();
    let mut generator = Seed(77).generator();
    let mut prefilled_by: Vec<Vec<Arc<str>>> = vec![Vec::new(); PREFIXES as usize];
    let mut now = Millis::ZERO;
    for _request in 0..600 {
        now = now + Millis(15);
        let pool = &mut pools[generator.random_range(0..NODES) as usize];
        let prefix = generator.random_range(0..PREFIXES);
        let parts = [
            Part {
                id: prefix,
                tokens: 13_000,
            },
            Part {
                id: 1_000 + generator.random_range(0..u64::from(u32::MAX)),
                tokens: 2_000,
            },
        ];
        let demand = demand(&parts);
        let Ok(choice) = pool.choose(now, &demand) else {
            continue;
        };
        let dispatch = pool.send(now, &choice, &demand);
        pool.begin_answer(now + Millis(80), dispatch);
        pool.end(now + Millis(300), dispatch, DispatchOutcome::Answered);
        let replicas = &mut prefilled_by[prefix as usize];
        if !replicas.contains(&choice.id) {
            replicas.push(choice.id);
        }
    }
    let prefills: usize = prefilled_by.iter().map(Vec::len).sum();
    assert!(
        prefills as u64 <= PREFIXES * 3 / 2,
        "{prefills} prefills for {PREFIXES} prefixes"
    );
}

/// A home replica with a long queue of prompts from another node is not chosen until the report of that queue expires.
#[test]
fn a_long_queue_outweighs_a_cached_prompt() {
    let parts = [Part { id: 1, tokens: 500 }, Part { id: 2, tokens: 500 }];
    let demand = demand(&parts);
    let mut pool = engine_pool(Seed(1), 4);
    let home = pool
        .choose(Millis(10_000), &demand)
        .expect("a replica should be available")
        .replica;
    let hash = {
        let choice = pool
            .choose(Millis(10_000), &demand)
            .expect("a replica should be available");
        let dispatch = pool.send(Millis(10_000), &choice, &demand);
        let loads = pool.own_loads();
        pool.end(Millis(10_000), dispatch, DispatchOutcome::Answered);
        loads[0].replica
    };
    let load = place::PeerLoad {
        replica: hash,
        in_flight: 20,
        unread_tokens: 200_000,
    };
    pool.record_peer_report(
        Millis(10_100),
        &PeerReport {
            node: 9,
            zone: "zone-1",
            loads: &[load],
            unreachable: &[],
        },
    );
    let other = pool
        .choose(Millis(10_100), &demand)
        .expect("a replica should be available")
        .replica;
    assert_ne!(other, home);
    // An old report is ignored.
    let later = pool
        .choose(Millis(12_000), &demand)
        .expect("a replica should be available")
        .replica;
    assert_eq!(later, home);
}

#[test]
fn plain_requests_are_spread_evenly() {
    let mut pool = plain_pool(Seed(3), 4);
    let demand = Demand {
        parts: &[],
        ..demand(&[])
    };
    let mut counts = [0; 4];
    for _request in 0..20 {
        let choice = pool
            .choose(Millis(1), &demand)
            .expect("a replica should be available");
        let index: usize = choice
            .id
            .trim_start_matches("i-")
            .parse()
            .expect("the id should end in a number");
        counts[index] += 1;
        pool.send(Millis(1), &choice, &demand);
    }
    assert_eq!(counts, [5; 4]);
}

#[test]
fn refusal_reasons() {
    struct Case<'a> {
        name: &'static str,
        prepare: fn(&mut Pool),
        version: VersionFilter<'a>,
        time_left: Millis,
        expected: Option<&'static str>,
    }
    let excluded = [Arc::from("v1")];
    let excluded_with_another = [Arc::from("v0"), Arc::from("v1")];
    let cases = [
        Case {
            name: "a replica has capacity",
            prepare: |_| {},
            version: VersionFilter::Any,
            time_left: Millis(1_000),
            expected: None,
        },
        Case {
            name: "all replicas are draining",
            prepare: |pool| {
                for number in 0..2 {
                    let state = State::Draining;
                    pool.register(
                        Millis::ZERO,
                        place::Spec {
                            state,
                            ..spec(number, 2)
                        },
                    );
                }
            },
            version: VersionFilter::Any,
            time_left: Millis(1_000),
            expected: Some("no_replica"),
        },
        Case {
            name: "no replica of the version",
            prepare: |_| {},
            version: VersionFilter::Only("v9"),
            time_left: Millis(1_000),
            expected: Some("no_replica"),
        },
        Case {
            name: "the only version is excluded",
            prepare: |_| {},
            version: VersionFilter::Except(&excluded),
            time_left: Millis(1_000),
            expected: Some("no_replica"),
        },
        Case {
            name: "the only version is excluded beside another",
            prepare: |_| {},
            version: VersionFilter::Except(&excluded_with_another),
            time_left: Millis(1_000),
            expected: Some("no_replica"),
        },
        Case {
            name: "another version is excluded",
            prepare: |_| {},
            version: VersionFilter::Except(&excluded_with_another[..1]),
            time_left: Millis(1_000),
            expected: None,
        },
        Case {
            name: "full",
            prepare: |pool| {
                let demand = demand(&[]);
                for _request in 0..40 {
                    if let Ok(choice) = pool.choose(Millis(1), &demand) {
                        pool.send(Millis(1), &choice, &demand);
                    }
                }
            },
            version: VersionFilter::Any,
            time_left: Millis(1_000),
            expected: Some("full"),
        },
        Case {
            name: "too little time for an answer",
            prepare: |_| {},
            version: VersionFilter::Any,
            time_left: Millis(10),
            expected: Some("too_late"),
        },
    ];
    for case in cases {
        let mut pool = plain_pool(Seed(5), 2);
        (case.prepare)(&mut pool);
        let demand = Demand {
            version: case.version,
            time_left: case.time_left,
            ..demand(&[])
        };
        let refusal = pool.choose(Millis(1), &demand).err();
        assert_eq!(refusal.map(Refusal::label), case.expected, "{}", case.name);
        if let Some(refusal) = refusal {
            assert!(refusal.retry_after() > Millis::ZERO, "{}", case.name);
        }
    }
}

/// A replica that fails is ejected for a while, then receives one probe and is readmitted when the probe succeeds.
#[test]
fn an_ejected_replica_returns_after_a_successful_probe() {
    let mut pool = plain_pool(Seed(8), 3);
    let demand = demand(&[]);
    let mut now = Millis(1);
    let mut failed = 0;
    for _request in 0..200 {
        if failed == 3 {
            break;
        }
        let choice = pool.choose(now, &demand).expect("a replica should be available");
        let dispatch = pool.send(now, &choice, &demand);
        let is_bad = &*choice.id == "i-0";
        let answered = now + Millis(20);
        pool.begin_answer(answered, dispatch);
        pool.end(
            answered,
            dispatch,
            if is_bad {
                DispatchOutcome::Failed
            } else {
                DispatchOutcome::Answered
            },
        );
        failed += u32::from(is_bad);
        now = answered;
    }
    assert_eq!(failed, 3);
    let chosen = |pool: &mut Pool, now: Millis| -> usize {
        let choices = (0..60).filter_map(|_| pool.choose(now, &demand).ok());
        choices.filter(|choice| &*choice.id == "i-0").count()
    };
    assert_eq!(chosen(&mut pool, now), 0);
    now = now + Millis(1_500);
    assert!(chosen(&mut pool, now) > 0);
    // One probe at a time.
    let mut choices = (0..200).filter_map(|_| pool.choose(now, &demand).ok());
    let choice = choices
        .find(|choice| &*choice.id == "i-0")
        .expect("the ejected replica should be chosen again");
    let dispatch = pool.send(now, &choice, &demand);
    assert_eq!(chosen(&mut pool, now), 0);
    pool.end(now, dispatch, DispatchOutcome::Answered);
    assert!(chosen(&mut pool, now) > 0);
}

/// A restarted replica with the same id counts as a new replica: its load and failures are reset.
#[test]
fn a_new_incarnation_starts_with_fresh_state() {
    let mut pool = plain_pool(Seed(9), 1);
    let demand = demand(&[]);
    for _request in 0..18 {
        let choice = pool
            .choose(Millis(1), &demand)
            .expect("a replica should be available");
        pool.send(Millis(1), &choice, &demand);
    }
    let full = pool.choose(Millis(1), &demand);
    assert!(matches!(full, Err(Refusal::Full(_))), "{full:?}");
    let started_unix_ms = Some(2);
    pool.register(
        Millis(2),
        place::Spec {
            started_unix_ms,
            ..spec(0, 6)
        },
    );
    assert!(pool.choose(Millis(2), &demand).is_ok());
}

/// The load that a replica reports affects selection until the report expires.
#[test]
fn reported_load_counts_until_it_expires() {
    let mut pool = plain_pool(Seed(10), 2);
    let demand = demand(&[]);
    let choice = pool
        .choose(Millis(1), &demand)
        .expect("a replica should be available");
    let load = Load {
        running: 6,
        waiting: 20,
        slots: 6,
        pace: None,
    };
    pool.record_load(Millis(1), choice.replica, load);
    for _request in 0..10 {
        let other = pool
            .choose(Millis(1), &demand)
            .expect("a replica should be available");
        assert_ne!(other.replica, choice.replica);
    }
    let later = (0..40).any(|_| {
        let again = pool.choose(Millis(1_500), &demand);
        again.is_ok_and(|again| again.replica == choice.replica)
    });
    assert!(later);
}

#[test]
fn settings_limit_requests_in_flight() {
    let mut pool = plain_pool(Seed(11), 1);
    pool.set_settings(Settings {
        max_in_flight: 2,
        ..Settings::default()
    });
    let demand = demand(&[]);
    for _request in 0..2 {
        let choice = pool
            .choose(Millis(1), &demand)
            .expect("a replica should be available");
        pool.send(Millis(1), &choice, &demand);
    }
    assert!(matches!(pool.choose(Millis(1), &demand), Err(Refusal::Full(_))));
}
