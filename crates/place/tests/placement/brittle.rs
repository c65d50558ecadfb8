//! Replicas that fall over if they have to turn too many requests away.

use base::{Millis, Seed};
use place::{Demand, DispatchOutcome, Pool, Refusal, ReplicaKey};
use quota::Group;

use crate::support::{demand, plain_pool};

const NOW: Millis = Millis(10_000);
const SLOTS: usize = 6;

fn pool(replicas: u16, nodes: usize) -> Pool {
    let mut pool = plain_pool(Seed(5), replicas);
    pool.set_group(Group {
        nodes,
        is_connected: true,
        ..Group::default()
    });
    pool
}

/// Sends requests until no replica takes any more; returns the replicas and the last refusal.
fn fill(pool: &mut Pool) -> (Vec<ReplicaKey>, Refusal) {
    let mut sent = Vec::new();
    loop {
        match pool.choose(NOW, &demand(&[])) {
            Ok(choice) => {
                pool.send(NOW, &choice, &demand(&[]));
                sent.push(choice.replica);
            }
            Err(refusal) => return (sent, refusal),
        }
    }
}

fn first(pool: &mut Pool) -> ReplicaKey {
    pool.choose(NOW, &demand(&[])).expect("a replica").replica
}

#[test]
fn requests_wait_at_brittle_replicas() {
    struct Case {
        name: &'static str,
        nodes: usize,
        brittleness: Option<u32>,
        sent: usize,
    }
    let cases = [
        Case {
            name: "not brittle",
            nodes: 1,
            brittleness: None,
            sent: 4 * SLOTS * 3,
        },
        Case {
            name: "one node",
            nodes: 1,
            brittleness: Some(3),
            sent: 4 * SLOTS,
        },
        Case {
            name: "six nodes, each with its part",
            nodes: 6,
            brittleness: Some(3),
            sent: 4 * 2,
        },
        Case {
            name: "more nodes than slots",
            nodes: 195,
            brittleness: Some(3),
            sent: 4,
        },
    ];
    for case in &cases {
        let mut pool = pool(4, case.nodes);
        // One has said so; the others of the endpoint have not answered yet.
        let replica = first(&mut pool);
        pool.record_brittleness(replica, case.brittleness);
        let (sent, refusal) = fill(&mut pool);
        assert_eq!(sent.len(), case.sent, "{}", case.name);
        assert!(matches!(refusal, Refusal::Full(_)), "{}: {refusal:?}", case.name);
    }
}

/// One that says nothing of it takes requests as before beside those that do.
#[test]
fn older_replicas_count_as_brittle() {
    let mut pool = pool(2, 6);
    let older = first(&mut pool);
    let demand = Demand {
        tried: &[older],
        ..demand(&[])
    };
    let newer = pool.choose(NOW, &demand).expect("a replica").replica;
    assert_eq!(pool.record_brittleness(older, None), None);
    assert_eq!(pool.record_brittleness(newer, Some(3)), Some(None));
    let (sent, _) = fill(&mut pool);
    assert_eq!(sent.iter().filter(|it| **it == newer).count(), 2);
    assert_eq!(sent.iter().filter(|it| **it == older).count(), SLOTS * 3);
    assert_eq!(pool.record_brittleness(newer, None), Some(Some(3)));
}

/// Nodes that are turned away come back so rarely that all together stay below what the replica bears.
#[test]
fn nodes_return_to_a_brittle_replica_at_once() {
    for nodes in [1, 6, 9] {
        let per_s = 3;
        let mut turned_away = Vec::new();
        for node in 0..nodes {
            let mut pool = plain_pool(Seed(node), 1);
            pool.set_group(Group {
                nodes: nodes as usize,
                is_connected: true,
                ..Group::default()
            });
            let replica = first(&mut pool);
            pool.record_brittleness(replica, Some(per_s));
            let mut now = NOW;
            while now < NOW + Millis(20_000) {
                match pool.choose(now, &demand(&[])) {
                    Ok(choice) => {
                        let dispatch = pool.send(now, &choice, &demand(&[]));
                        assert!(pool.record_no_room(now, replica).is_some());
                        pool.end(now, dispatch, DispatchOutcome::NotRun);
                        turned_away.push(now);
                        now = now + Millis(10);
                    }
                    Err(Refusal::Limited(wait)) => now = now + wait.max(Millis(1)),
                    Err(refusal) => panic!("{refusal:?}"),
                }
            }
        }
        // After the first attempts, before which no node knew.
        let later = turned_away.iter().filter(|at| **at >= NOW + Millis(4_000));
        let mean = later.count() as f64 / 16.0;
        assert!(mean <= f64::from(per_s) * 1.1, "{nodes} nodes: {mean} a second");
    }
}

#[test]
fn replicas_that_are_not_brittle_are_left_out() {
    let mut pool = pool(1, 6);
    let replica = first(&mut pool);
    assert_eq!(pool.record_no_room(NOW, replica), None);
    assert!(pool.choose(NOW, &demand(&[])).is_ok());
}
