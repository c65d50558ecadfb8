//! Reports, zones, limits and waits.

use base::Millis;
use route::action::Action;
use route::arrival::Priority;
use route::event::{Event, Finish};
use route::replica::Report;
use route::{Arrival, CallKey};

use crate::fixture::{DEADLINE, Fixture, dispatch, settings};

struct Reported {
    running: u32,
    queued: u32,
    age: u64,
    waited: u64,
    dispatched: bool,
}

/// One replica of capacity four.
const REPORTED: [Reported; 6] = [
    Reported {
        running: 3,
        queued: 0,
        age: 0,
        waited: 0,
        dispatched: true,
    },
    Reported {
        running: 4,
        queued: 0,
        age: 0,
        waited: 0,
        dispatched: false,
    },
    Reported {
        running: 2,
        queued: 2,
        age: 0,
        waited: 0,
        dispatched: false,
    },
    // An old report counts the less.
    Reported {
        running: 4,
        queued: 0,
        age: 2_500,
        waited: 0,
        dispatched: true,
    },
    Reported {
        running: 40,
        queued: 0,
        age: 0,
        waited: 5_000,
        dispatched: true,
    },
    Reported {
        running: 40,
        queued: 0,
        age: 0,
        waited: 2_500,
        dispatched: false,
    },
];

#[test]
fn reports_count_against_the_limit_until_they_are_old() {
    for case in REPORTED {
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
        let now = start + Millis(case.waited);
        let arrival = Arrival::new(CallKey(1), fixture.endpoint, fixture.workspace, now + DEADLINE);
        let actions = fixture.step(now, Event::Arrive(arrival));
        assert_eq!(!actions.is_empty(), case.dispatched, "{} running", case.running);
    }
}

#[test]
fn the_own_zone_goes_first_and_overflows_before_it_queues() {
    let mut fixture = Fixture::new(settings(), 9, 2);
    fixture.add("b", 2);
    let mut order = Vec::new();
    for _ in 0..4 {
        order.push(dispatch(&fixture.arrive(Millis(1), true)).replica);
    }
    assert!(!order[..2].contains(&fixture.replicas[2]));
    assert_eq!(order[2..], [fixture.replicas[2]; 2]);
    assert_eq!(fixture.arrive(Millis(1), true), []);
}

#[test]
fn one_slow_answer_changes_no_limit_and_many_do() {
    let mut fixture = Fixture::new(settings(), 9, 0);
    fixture.add("a", 8);
    let replica = fixture.replicas[0];
    let mut run = |slow: u32| {
        for turn in 0..16 {
            let now = Millis(1);
            let sent = dispatch(&fixture.arrive(now, true));
            let latency = if turn < slow { Millis(300) } else { Millis(50) };
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

struct Waits {
    priority: Priority,
    at: Millis,
    refused: bool,
}

/// The latency target is 100 ms, the deadline 1 s, and one answer takes 100 ms.
const WAITS: [Waits; 4] = [
    Waits {
        priority: Priority::Normal,
        at: Millis(99),
        refused: false,
    },
    Waits {
        priority: Priority::Normal,
        at: Millis(201),
        refused: true,
    },
    Waits {
        priority: Priority::Batch,
        at: Millis(800),
        refused: false,
    },
    Waits {
        priority: Priority::Batch,
        at: DEADLINE,
        refused: true,
    },
];

#[test]
fn only_batch_work_waits_beyond_twice_the_target() {
    for case in WAITS {
        let mut fixture = Fixture::new(settings(), 9, 1);
        fixture.arrive(Millis(0), true);
        let arrival = Arrival::new(CallKey(9), fixture.endpoint, fixture.workspace, DEADLINE);
        let waits = fixture.step(Millis(0), Event::Arrive(arrival.with_priority(case.priority)));
        assert_eq!(waits, []);
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
