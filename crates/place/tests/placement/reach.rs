//! Nodes that reach no replica, told apart from replicas that are down.

use std::sync::Arc;

use base::{Millis, Seed};
use place::intermediary::{Candidate, Intermediaries, may_forward};
use place::{Demand, DispatchOutcome, ForwardError, Pool, ReachChange, ReplicaKey, Spec, State};

use crate::support;

fn spec(number: usize) -> Spec {
    support::spec(number as u16, 6)
}

fn pool(replicas: usize) -> Pool {
    support::plain_pool(Seed(1), replicas as u16)
}

const fn demand(tried: &[ReplicaKey]) -> Demand<'_> {
    Demand {
        tried,
        ..support::demand(&[])
    }
}

/// The keys of all replicas, by way of probes.
fn keys(pool: &mut Pool, replicas: usize) -> Vec<ReplicaKey> {
    (0..replicas)
        .map(|number| {
            let id = spec(number).id;
            pool.forward_target(Millis(1_000), &id)
                .expect("registered")
                .replica
        })
        .collect()
}

#[test]
fn node_is_cut_off_once_enough_replicas_fail_in_a_row() {
    struct Case {
        replicas: usize,
        failures: usize,
        /// Connections after which it is no longer cut off.
        connections: usize,
    }
    let cases = [
        Case {
            replicas: 1,
            failures: 1,
            connections: 1,
        },
        Case {
            replicas: 3,
            failures: 3,
            connections: 2,
        },
        Case {
            replicas: 4,
            failures: 4,
            connections: 2,
        },
        Case {
            replicas: 18,
            failures: 6,
            connections: 6,
        },
        Case {
            replicas: 90,
            failures: 8,
            connections: 8,
        },
    ];
    for case in &cases {
        let mut pool = pool(case.replicas);
        let keys = keys(&mut pool, case.replicas);
        for (number, key) in keys[..case.failures].iter().enumerate() {
            assert!(!pool.is_cut_off(), "{} replicas, {number} failed", case.replicas);
            // The same replica counts once.
            pool.record_connect(Millis(2_000), *key, false);
            pool.record_connect(Millis(2_010), *key, false);
        }
        assert!(pool.is_cut_off(), "{} replicas", case.replicas);
        for key in &keys[..case.connections - 1] {
            assert_eq!(pool.record_connect(Millis(2_400), *key, true), None);
            assert!(pool.is_cut_off(), "{} replicas", case.replicas);
        }
        let last = keys[case.connections - 1];
        let change = pool.record_connect(Millis(2_500), last, true);
        let cut_off = Millis(500);
        assert_eq!(change, Some(ReachChange::Reached { cut_off }));
        assert!(!pool.is_cut_off());
    }
}

/// One of five replicas can be reached, the others can't: requests to it are sent directly, all others through other nodes.
#[test]
fn one_connection_sends_all_requests_to_replicas_that_cannot_be_reached() {
    let mut pool = pool(5);
    let keys = keys(&mut pool, 5);
    let now = Millis(2_000);
    for key in &keys[1..] {
        pool.record_connect(now, *key, false);
    }
    assert!(pool.is_cut_off());
    assert!(keys.iter().all(|key| !pool.is_direct(*key)));
    for round in 1..40 {
        let now = now + Millis(250 * round);
        assert_eq!(pool.record_connect(now, keys[0], true), None, "round {round}");
        let failed = keys[1 + round as usize % 4];
        assert_eq!(pool.record_connect(now, failed, false), None, "round {round}");
        assert!(pool.is_cut_off());
        let direct: Vec<bool> = keys.iter().map(|key| pool.is_direct(*key)).collect();
        assert_eq!(direct, [true, false, false, false, false], "round {round}");
        let probes = pool.take_probes(now, None);
        assert_eq!(probes.len(), 4, "round {round}");
        assert!(probes.iter().all(|it| it.replica != keys[0]), "round {round}");
    }
    pool.record_connect(Millis(20_000), keys[0], false);
    assert!(!pool.is_direct(keys[0]));
}

/// Some replicas are down, and others are connected to in between.
#[test]
fn replicas_that_are_down_are_no_cut() {
    let mut pool = pool(18);
    let keys = keys(&mut pool, 18);
    for round in 0..20 {
        let now = Millis(2_000 + 100 * round);
        for key in &keys[..5] {
            assert_eq!(pool.record_connect(now, *key, false), None);
        }
        assert_eq!(pool.record_connect(now, keys[9], true), None);
    }
    assert!(!pool.is_cut_off());
}

/// Replicas fail one after the other, with long pauses in which the node has open connections.
#[test]
fn failures_long_ago_are_no_cut() {
    let mut pool = pool(18);
    let keys = keys(&mut pool, 18);
    for (number, key) in keys.iter().enumerate() {
        let now = Millis(2_000 + 3_000 * number as u64);
        pool.record_connect(now, *key, false);
    }
    assert!(!pool.is_cut_off());
}

/// Which replicas fail to connect tells nothing of them once the node is cut off: requests through other nodes use all of
/// them, and the failures of requests that were sent before do not count.
#[test]
fn cut_off_node_does_not_eject_replicas() {
    let mut pool = pool(4);
    let keys = keys(&mut pool, 4);
    let now = Millis(2_000);
    let tried = [];
    let early = pool.choose(now, &demand(&tried)).expect("a replica");
    let dispatch = pool.send(now, &early, &demand(&tried));
    for key in &keys {
        pool.record_connect(now, *key, false);
    }
    pool.end(now, dispatch, DispatchOutcome::Unreachable);
    let others: Vec<ReplicaKey> = keys.iter().copied().filter(|key| *key != early.replica).collect();
    let choice = pool
        .choose(now, &demand(&others))
        .expect("the first replica again");
    assert_eq!(choice.replica, early.replica);
    assert!(pool.unreachable(now).is_empty());
}

/// Connections are reset as the node is cut off: a replica that lost several requests is used through other nodes at once.
#[test]
fn replica_stays_ejected_for_failures_of_the_nodes_own_links() {
    let mut pool = pool(4);
    let keys = keys(&mut pool, 4);
    let now = Millis(2_000);
    let others: Vec<ReplicaKey> = keys[1..].to_vec();
    for _ in 0..3 {
        let choice = pool.choose(now, &demand(&others)).expect("the replica");
        let dispatch = pool.send(now, &choice, &demand(&others));
        pool.end(now, dispatch, DispatchOutcome::Failed);
    }
    let is_chosen = |pool: &mut Pool| {
        (0..40).any(|_| {
            let choice = pool.choose(now, &demand(&[])).expect("a replica");
            choice.replica == keys[0]
        })
    };
    assert!(!is_chosen(&mut pool), "ejected while the node may reach others");
    for key in &keys {
        pool.record_connect(now, *key, false);
    }
    assert!(is_chosen(&mut pool));
}

#[test]
fn replicas_are_down_if_all_of_them_failed() {
    let mut pool = pool(18);
    let keys = keys(&mut pool, 18);
    for (number, key) in keys.iter().enumerate() {
        assert!(!pool.is_all_unreachable(), "{number} of 18 failed");
        pool.record_connect(Millis(2_000), *key, false);
    }
    assert!(pool.is_all_unreachable());
    // One that starts anew may be up.
    pool.register(Millis(2_100), spec(18));
    assert!(!pool.is_all_unreachable());
}

#[test]
fn replicas_are_probed_while_none_may_be_reachable() {
    struct Case {
        name: &'static str,
        failed: usize,
        waits_since: Option<u64>,
        probes: usize,
    }
    let now = Millis(5_000);
    let cases = [
        Case {
            name: "all is well",
            failed: 0,
            waits_since: None,
            probes: 0,
        },
        Case {
            name: "a request waits for a moment",
            failed: 0,
            waits_since: Some(4_500),
            probes: 0,
        },
        Case {
            name: "all replicas are silent",
            failed: 0,
            waits_since: Some(3_900),
            probes: 4,
        },
        Case {
            name: "a connection failed",
            failed: 1,
            waits_since: None,
            probes: 4,
        },
        Case {
            name: "the node is cut off",
            failed: 6,
            waits_since: None,
            probes: 1,
        },
    ];
    for case in &cases {
        let mut pool = pool(18);
        let keys = keys(&mut pool, 18);
        for key in &keys[..case.failed] {
            pool.record_connect(now, *key, false);
        }
        if let Some(at) = case.waits_since {
            let choice = pool.choose(Millis(at), &demand(&[])).expect("a replica");
            pool.send(Millis(at), &choice, &demand(&[]));
        }
        let probes = pool.take_probes(now, None);
        assert_eq!(probes.len(), case.probes, "{}", case.name);
        assert!(
            probes
                .iter()
                .all(|probe| !keys[..case.failed].contains(&probe.replica)),
            "{}: those that failed come last",
            case.name
        );
        assert!(
            pool.take_probes(now + Millis(100), None).is_empty(),
            "{}",
            case.name
        );
        let again = pool.take_probes(now + Millis(250), None);
        assert_eq!(again.len(), case.probes, "{}", case.name);
    }
}

#[test]
fn forwarded_requests_are_sent_to_replicas_that_take_them() {
    let now = Millis(2_000);
    let mut pool = pool(5);
    let keys = keys(&mut pool, 5);
    let mut draining = spec(1);
    draining.state = State::Draining;
    pool.register(now, draining);
    pool.record_leaving(keys[2]);
    pool.record_pause(now, keys[3], Millis(1_000));
    pool.record_unreachable(now, keys[4]);
    let target = |number: usize| pool.forward_target(now, &spec(number).id).map(|it| it.replica);
    assert_eq!(target(0), Ok(keys[0]));
    assert_eq!(target(1), Err(ForwardError::Gone));
    assert_eq!(target(2), Err(ForwardError::Gone));
    assert_eq!(target(3), Err(ForwardError::Paused));
    assert_eq!(target(4), Err(ForwardError::Unreachable));
    assert_eq!(target(9), Err(ForwardError::Gone));
    for key in &keys {
        pool.record_connect(now, *key, false);
    }
    assert_eq!(
        pool.forward_target(now, &spec(0).id).err(),
        Some(ForwardError::CutOff)
    );
}

/// Nodes that reach no replica spread their requests over those that do, by their size, and leave out those that take none.
#[test]
fn requests_spread_over_intermediaries() {
    let candidate = |node, capacity, is_near| Candidate {
        node,
        capacity,
        is_near,
        is_heard: true,
    };
    let endpoint: Arc<str> = Arc::from("ledger");
    let candidates = [
        candidate(1, 500, true),
        candidate(2, 250, true),
        candidate(3, 250, true),
        candidate(4, 500, true),
    ];
    let now = Millis(1_000);
    let mut intermediaries = Intermediaries::new(Seed(3).generator());
    intermediaries.exclude(now, 4, Millis(500));
    let mut sent = [0; 5];
    for _ in 0..400 {
        let node = intermediaries
            .choose(now, &endpoint, &candidates)
            .expect("a node");
        intermediaries.begin(node);
        sent[node as usize] += 1;
    }
    assert_eq!(sent[4], 0);
    assert!((190..=210).contains(&sent[1]), "{sent:?}");
    assert!((90..=110).contains(&sent[2]), "{sent:?}");
    let later = now + Millis(500);
    assert_eq!(intermediaries.choose(later, &endpoint, &candidates), Some(4));
    intermediaries.exclude(now, 1, Millis(500));
    assert_eq!(intermediaries.choose(now, &endpoint, &candidates[..1]), None);
}

/// Forwarding never takes more than a bounded multiple of a node's own load, and some of it also of an idle node.
#[test]
fn load_of_an_intermediary_is_bounded() {
    for own in [0, 1, 15, 100, 10_000] {
        let most = (0..100_000).take_while(|it| may_forward(*it, own)).count();
        assert_eq!(most, (64 + 4 * own).min(512), "{own} of its own");
    }
}

/// The node is cut off from another endpoint: without a request, it finds out whether it is from this one, too, and probes no
/// more once it has connected to a replica since.
#[test]
fn endpoint_with_few_requests_loses_the_first_ones_of_a_cut() {
    for can_connect in [false, true] {
        let mut pool = pool(3);
        let keys = keys(&mut pool, 3);
        pool.record_connect(Millis(1_000), keys[0], true);
        assert!(pool.take_probes(Millis(5_000), None).is_empty());
        let cut = Some(Millis(6_000));
        let probes = pool.take_probes(Millis(6_050), cut);
        assert_eq!(probes.len(), 3);
        for probe in &probes {
            pool.record_connect(Millis(6_450), probe.replica, can_connect);
        }
        assert_eq!(pool.is_cut_off(), !can_connect);
        let later = pool.take_probes(Millis(6_500), cut);
        assert_eq!(later.is_empty(), can_connect);
    }
}
