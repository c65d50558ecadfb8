//! Effects of load reports, availability zones, adaptive limits and queue timeouts.

use base::Millis;
use route::action::Action;
use route::arrival::Priority;
use route::event::{Event, Finish};
use route::replica::Report;
use route::{Arrival, CallKey};

use crate::fixture::{DEADLINE, Fixture, dispatch, settings};

struct ReportCase {
    running: u32,
    queued: u32,
    age: u64,
    elapsed: u64,
    dispatched: bool,
}

/// Cases for a single replica of capacity four.
const REPORT_CASES: [ReportCase; 6] = [
    ReportCase {
        running: 3,
        queued: 0,
        age: 0,
        elapsed: 0,
        dispatched: true,
    },
    ReportCase {
        running: 4,
        queued: 0,
        age: 0,
        elapsed: 0,
        dispatched: false,
    },
    ReportCase {
        running: 2,
        queued: 2,
        age: 0,
        elapsed: 0,
        dispatched: false,
    },
    // The weight of a report decreases with its age.
    ReportCase {
        running: 4,
        queued: 0,
        age: 2_500,
        elapsed: 0,
        dispatched: true,
    },
    ReportCase {
        running: 40,
        queued: 0,
        age: 0,
        elapsed: 5_000,
        dispatched: true,
    },
    ReportCase {
        running: 40,
        queued: 0,
        age: 0,
        elapsed: 2_500,
        dispatched: false,
    },
];

#[test]
fn load_reports_count_against_the_limit_until_they_expire() {
    for case in REPORT_CASES {
        let mut fixture = Fixture::new(settings(), 9, 0);
        fixture.add("a", 4);
        let replica = fixture.replicas[0];
        let report = Report {
            running: case.running,
            queued: case.queued,
            age: Millis(case.age),
        };
        let start = Millis(10_000);
        fixture.step(start, Event::Report { replica, report });
        let now = start + Millis(case.elapsed);
        let arrival = Arrival::new(CallKey(1), fixture.endpoint, fixture.workspace, now + DEADLINE);
        let actions = fixture.step(now, Event::Arrive(arrival));
        assert_eq!(
            !actions.is_empty(),
            case.dispatched,
            "{} running requests reported",
            case.running
        );
    }
}

#[test]
fn same_zone_is_preferred_and_overflows_before_queueing() {
    let mut fixture = Fixture::new(settings(), 9, 2);
    fixture.add("b", 2);
    let mut selected = Vec::new();
    for _ in 0..4 {
        selected.push(dispatch(&fixture.arrive(Millis(1), true)).replica);
    }
    assert!(!selected[..2].contains(&fixture.replicas[2]));
    assert_eq!(selected[2..], [fixture.replicas[2]; 2]);
    assert_eq!(fixture.arrive(Millis(1), true), []);
}

#[test]
fn many_slow_answers_lower_the_limit_but_one_does_not() {
    let mut fixture = Fixture::new(settings(), 9, 0);
    fixture.add("a", 8);
    let replica = fixture.replicas[0];
    let mut run = |slow: u32| {
        for index in 0..16 {
            let now = Millis(1);
            let sent = dispatch(&fixture.arrive(now, true));
            let latency = if index < slow { Millis(300) } else { Millis(50) };
            fixture.end(now + latency, sent, Finish::Complete);
        }
        fixture
            .router
            .replica(replica)
            .expect("the replica is live")
            .limit
    };
    assert_eq!(run(1).to_bits(), 8.0_f32.to_bits());
    assert!(run(8) < 8.0);
}

struct QueueTimeoutCase {
    priority: Priority,
    at: Millis,
    refused: bool,
}

/// The latency target is 100 ms, the deadline 1 s, and the estimated time to the first token 100 ms.
const QUEUE_TIMEOUT_CASES: [QueueTimeoutCase; 4] = [
    QueueTimeoutCase {
        priority: Priority::Normal,
        at: Millis(99),
        refused: false,
    },
    QueueTimeoutCase {
        priority: Priority::Normal,
        at: Millis(201),
        refused: true,
    },
    QueueTimeoutCase {
        priority: Priority::Batch,
        at: Millis(800),
        refused: false,
    },
    QueueTimeoutCase {
        priority: Priority::Batch,
        at: DEADLINE,
        refused: true,
    },
];

#[test]
fn only_batch_requests_wait_beyond_twice_the_target() {
    for case in QUEUE_TIMEOUT_CASES {
        let mut fixture = Fixture::new(settings(), 9, 1);
        fixture.arrive(Millis(0), true);
        let arrival = Arrival::new(CallKey(9), fixture.endpoint, fixture.workspace, DEADLINE);
        let on_arrival = fixture.step(Millis(0), Event::Arrive(arrival.with_priority(case.priority)));
        assert_eq!(on_arrival, []);
        let actions = fixture.step(case.at, Event::Tick);
        let is_refused = |action: &Action| matches!(action, Action::Refuse { call: CallKey(9), .. });
        assert_eq!(
            actions.iter().any(is_refused),
            case.refused,
            "{:?} at {}",
            case.priority,
            case.at
        );
    }
}
