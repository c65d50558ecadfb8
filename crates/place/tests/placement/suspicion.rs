//! Replicas that become unreachable while many nodes each send to them rarely.
//!
//! Half of the requests to such a replica use an open connection, on which no answer arrives. The others fail to
//! connect in time and can be retried on another replica.

use std::collections::BTreeMap;

use base::{Millis, Seed};
use place::{DispatchKey, DispatchOutcome, Part, PeerReport, Pool};
use rand::RngExt;

use crate::support::{demand, engine_pool};

/// Number of nodes, replicas and replicas that become unreachable, as on the larger sites.
const NODES: usize = 70;
const REPLICAS: u16 = 90;
const UNREACHABLE: usize = 14;
/// Time of the outage and end of the simulation, in milliseconds.
const OUTAGE_AT: u64 = 2_000;
const END_AT: u64 = 8_000;
/// Requests of all nodes together in each step.
const REQUESTS_PER_STEP: usize = 5;
const STEP_MS: u64 = 10;
/// Time to the first event and to the end of a request at a reachable replica.
const FIRST_EVENT: u64 = 80;
const COMPLETION: u64 = 300;
/// Time without an event after which callers close a stream.
const CALLER_TIMEOUT: u64 = 2_000;
/// Time between two reports of a node to the other nodes.
const REPORT_INTERVAL: u64 = 350;

#[derive(Clone, Copy)]
enum Next {
    Begin,
    End(DispatchOutcome),
}

/// Time until an attempt to connect to an unreachable replica is given up.
const CONNECT_TIMEOUT: u64 = 250;

/// Returns the number of requests sent to unreachable replicas, which are lost on open connections or delayed.
fn count_affected(are_reports_shared: bool) -> usize {
    let mut generator = Seed(7).generator();
    let mut pools: Vec<Pool> = (0..NODES)
        .map(|node| engine_pool(Seed(node as u64), REPLICAS))
        .collect();
    let mut scheduled: BTreeMap<u64, Vec<(usize, DispatchKey, Next)>> = BTreeMap::new();
    let parts = [Part { id: 1, tokens: 3_000 }];
    let mut affected = 0;
    for now in (0..END_AT).step_by(STEP_MS as usize) {
        for (node, dispatch, next) in scheduled.remove(&now).unwrap_or_default() {
            match next {
                Next::Begin => pools[node].begin_answer(Millis(now), dispatch),
                Next::End(end) => pools[node].end(Millis(now), dispatch, end),
            }
        }
        for _request in 0..REQUESTS_PER_STEP {
            let node = generator.random_range(0..NODES);
            let demand = demand(&parts);
            let Ok(choice) = pools[node].choose(Millis(now), &demand) else {
                continue;
            };
            let dispatch = pools[node].send(Millis(now), &choice, &demand);
            let is_unreachable =
                now >= OUTAGE_AT && (0..UNREACHABLE).any(|number| *choice.id == format!("i-{number}"));
            if is_unreachable {
                affected += 1;
                let (at, end) = if generator.random() {
                    (now + CALLER_TIMEOUT, DispatchOutcome::Cancelled)
                } else {
                    (now + CONNECT_TIMEOUT, DispatchOutcome::Unreachable)
                };
                scheduled
                    .entry(at)
                    .or_default()
                    .push((node, dispatch, Next::End(end)));
            } else {
                scheduled
                    .entry(now + FIRST_EVENT)
                    .or_default()
                    .push((node, dispatch, Next::Begin));
                scheduled.entry(now + COMPLETION).or_default().push((
                    node,
                    dispatch,
                    Next::End(DispatchOutcome::Answered),
                ));
            }
        }
        if are_reports_shared && now % REPORT_INTERVAL == 0 {
            share_reports(Millis(now), &mut pools);
        }
    }
    affected
}

fn share_reports(now: Millis, pools: &mut [Pool]) {
    let reports: Vec<_> = pools
        .iter()
        .map(|pool| (pool.own_loads(), pool.unreachable(now)))
        .collect();
    for (node, (loads, unreachable)) in reports.iter().enumerate() {
        let zone = format!("zone-{}", node % 4);
        let report = PeerReport {
            node: node as u64,
            zone: &zone,
            loads,
            unreachable,
        };
        for (other, pool) in pools.iter_mut().enumerate() {
            if other != node {
                pool.record_peer_report(now, &report);
            }
        }
    }
}

#[test]
fn shared_reports_reduce_requests_to_unreachable_replicas() {
    let [alone, shared] = [count_affected(false), count_affected(true)];
    println!("affected requests without reports {alone}, with reports {shared}");
    assert!(
        shared * 3 < alone,
        "{shared} requests affected with shared reports, {alone} without"
    );
}

/// Reports of other nodes on replica 0, and whether it is still chosen.
struct Case {
    name: &'static str,
    /// Id and availability zone of each node that reports it as unreachable.
    reports: &'static [(u64, &'static str)],
    /// Number of other replicas that the same nodes report as unreachable.
    other_suspects: u16,
    report_age: u64,
    is_chosen: bool,
}

const CASES: [Case; 6] = [
    Case {
        name: "no reports",
        reports: &[],
        other_suspects: 0,
        report_age: 0,
        is_chosen: true,
    },
    Case {
        name: "one node",
        reports: &[(1, "a")],
        other_suspects: 0,
        report_age: 0,
        is_chosen: true,
    },
    Case {
        name: "two nodes of one zone, which may be partitioned",
        reports: &[(1, "a"), (2, "a")],
        other_suspects: 0,
        report_age: 0,
        is_chosen: true,
    },
    Case {
        name: "two nodes of two zones",
        reports: &[(1, "a"), (2, "b")],
        other_suspects: 0,
        report_age: 0,
        is_chosen: false,
    },
    Case {
        name: "two nodes of two zones, expired reports",
        reports: &[(1, "a"), (2, "b")],
        other_suspects: 0,
        report_age: 3_500,
        is_chosen: true,
    },
    Case {
        name: "reports on too many replicas",
        reports: &[(1, "a"), (2, "b")],
        other_suspects: 5,
        report_age: 0,
        is_chosen: true,
    },
];

#[test]
fn suspicion_needs_two_zones_and_few_suspects() {
    for case in CASES {
        let mut pool = engine_pool(Seed(3), 9);
        let id = |number: u16| format!("i-{number}");
        let hashes: Vec<u64> = (0..=case.other_suspects)
            .map(|number| place::hash(&id(number)))
            .collect();
        for (node, zone) in case.reports {
            let report = PeerReport {
                node: *node,
                zone,
                loads: &[],
                unreachable: &hashes,
            };
            pool.record_peer_report(Millis(1_000), &report);
        }
        let parts = [Part { id: 1, tokens: 100 }];
        let now = Millis(1_000 + case.report_age);
        let chosen = (0..200).any(|_try| {
            let choice = pool
                .choose(now, &demand(&parts))
                .expect("a replica should be available");
            *choice.id == *id(0)
        });
        assert_eq!(chosen, case.is_chosen, "{}", case.name);
    }
}
