//! Tables: each reason of refusal and each cause of a retry, once with what leads to it.

use base::{Millis, Name, Outcome, Seed};
use route::action::{Action, Dispatch};
use route::arrival::Priority;
use route::event::{Event, Finish};
use route::failure::{Failure, Kind};
use route::refusal::{Reason, Refusal};
use route::replica::{Report, Spec};
use route::retry::Cause;
use route::{Arrival, CallKey, EndpointKey, ReplicaKey, Router, WorkspaceKey, endpoint, workspace};

const DEADLINE: Millis = Millis(1_000);
/// Long enough for any backoff, shorter than the deadline.
const LATER: Millis = Millis(200);

/// A router with one workspace and two replicas that take one request each.
struct Bench {
    router: Router,
    endpoint: EndpointKey,
    workspace: WorkspaceKey,
    replicas: Vec<ReplicaKey>,
    calls: u64,
}

impl Bench {
    fn new(settings: endpoint::Settings, share: u32, replicas: u32) -> Self {
        let mut router = Router::new(Seed(7)).with_zone(&Name::from("a"));
        let endpoint = router.add_endpoint(settings);
        let workspace = router.add_workspace(workspace::Settings::new(share));
        let mut bench = Self {
            router,
            endpoint,
            workspace,
            replicas: Vec::new(),
            calls: 0,
        };
        for _ in 0..replicas {
            bench.add("a", 1);
        }
        bench
    }

    fn add(&mut self, zone: &str, capacity: u32) {
        let spec = Spec {
            endpoint: self.endpoint,
            zone: self.router.zone(&Name::from(zone)),
            version: self.router.version(&Name::from("v1")),
            capacity,
            identity: self.replicas.len() as u64,
        };
        self.replicas
            .extend(self.router.add_replica(Millis(0), spec, &mut Vec::new()));
    }

    fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.step(now, event, &mut actions);
        actions
    }

    fn arrive(&mut self, now: Millis, idempotent: bool) -> Vec<Action> {
        self.arrive_until(now, idempotent, DEADLINE)
    }

    fn arrive_until(&mut self, now: Millis, idempotent: bool, deadline: Millis) -> Vec<Action> {
        self.calls += 1;
        let arrival = Arrival::new(CallKey(self.calls), self.endpoint, self.workspace, deadline)
            .with_idempotent(idempotent);
        self.step(now, Event::Arrive(arrival))
    }

    fn end(&mut self, now: Millis, dispatch: Dispatch, finish: Finish) -> Vec<Action> {
        self.step(
            now,
            Event::Finished {
                dispatch: dispatch.id,
                finish,
            },
        )
    }
}

fn settings() -> endpoint::Settings {
    endpoint::Settings::new(Millis(100)).with_max_queue(2)
}

fn dispatch(actions: &[Action]) -> Dispatch {
    let [Action::Dispatch(dispatch)] = actions else {
        panic!("expected one dispatch: {actions:?}");
    };
    *dispatch
}

fn refusal(actions: &[Action]) -> Refusal {
    let refusal = actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    });
    refusal.unwrap_or_else(|| panic!("expected a refusal: {actions:?}"))
}

fn failed(kind: Kind, may_have_run: bool) -> Finish {
    Finish::Failed(Failure::new(kind, may_have_run))
}

struct Refused {
    reason: Reason,
    outcome: Outcome,
    provoke: fn() -> Vec<Action>,
}

const REFUSED: [Refused; 12] = [
    Refused {
        reason: Reason::NoEndpoint,
        outcome: Outcome::NotRun,
        provoke: || {
            let mut bench = Bench::new(settings(), 9, 1);
            let endpoint = bench.endpoint;
            bench.step(Millis(1), Event::EndpointRemoved { endpoint });
            bench.arrive(Millis(2), true)
        },
    },
    Refused {
        reason: Reason::NoWorkspace,
        outcome: Outcome::NotRun,
        provoke: || {
            let mut bench = Bench::new(settings(), 9, 1);
            let workspace = bench.workspace;
            bench.step(Millis(1), Event::WorkspaceRemoved { workspace });
            bench.arrive(Millis(2), true)
        },
    },
    Refused {
        reason: Reason::NoReplica,
        outcome: Outcome::NotRun,
        provoke: || Bench::new(settings(), 9, 0).arrive(Millis(1), true),
    },
    Refused {
        reason: Reason::Overloaded,
        outcome: Outcome::NotRun,
        provoke: || {
            let mut bench = Bench::new(settings(), 9, 1);
            bench.arrive(Millis(1), true);
            bench.arrive(Millis(1), true);
            bench.arrive(Millis(1), true)
        },
    },
    // Its turn would come after the deadline: said on arrival.
    Refused {
        reason: Reason::DeadlineUnmet,
        outcome: Outcome::NotRun,
        provoke: || {
            let mut bench = Bench::new(settings(), 9, 1);
            bench.arrive(Millis(1), true);
            bench.arrive(DEADLINE - Millis(150), true)
        },
    },
    // It waited in vain: said while there is still time to ask elsewhere.
    Refused {
        reason: Reason::DeadlineUnmet,
        outcome: Outcome::NotRun,
        provoke: || {
            let mut bench = Bench::new(settings(), 9, 1);
            bench.arrive(Millis(1), true);
            bench.arrive(Millis(2), true);
            bench.step(DEADLINE - Millis(100), Event::Tick)
        },
    },
    // It was in flight: the node is told to give it up, and says whether a byte left.
    Refused {
        reason: Reason::DeadlineUnmet,
        outcome: Outcome::Unknown,
        provoke: || {
            let mut bench = Bench::new(settings(), 9, 1);
            let sent = dispatch(&bench.arrive(Millis(1), false));
            let cancel = bench.step(DEADLINE, Event::Tick);
            assert_eq!(cancel, [Action::Cancel { dispatch: sent.id }]);
            bench.end(DEADLINE, sent, failed(Kind::Cancelled, true))
        },
    },
    Refused {
        reason: Reason::WorkspaceLimit,
        outcome: Outcome::NotRun,
        provoke: || {
            let mut bench = Bench::new(settings(), 1, 2);
            bench.arrive(Millis(1), true);
            bench.arrive(DEADLINE - Millis(150), true)
        },
    },
    Refused {
        reason: Reason::RetryBudget,
        outcome: Outcome::NotRun,
        provoke: || {
            let mut bench = Bench::new(settings().with_max_attempts(20).with_retry_percent(0), 9, 2);
            let mut actions = bench.arrive_until(Millis(1), false, Millis::from_secs(60));
            for turn in 1..=10 {
                let sent = dispatch(&actions);
                let now = Millis::from_secs(2 * turn);
                assert_eq!(bench.end(now, sent, failed(Kind::Rejected, false)), []);
                actions = bench.step(now + Millis(1_000), Event::Tick);
            }
            let sent = dispatch(&actions);
            bench.end(Millis::from_secs(22), sent, failed(Kind::Rejected, false))
        },
    },
    Refused {
        reason: Reason::Attempts,
        outcome: Outcome::Unknown,
        provoke: || {
            let mut bench = Bench::new(settings().with_max_attempts(1), 9, 2);
            let sent = dispatch(&bench.arrive(Millis(1), true));
            bench.end(Millis(2), sent, failed(Kind::Status, true))
        },
    },
    Refused {
        reason: Reason::MayHaveRun,
        outcome: Outcome::Unknown,
        provoke: || {
            let mut bench = Bench::new(settings(), 9, 2);
            let sent = dispatch(&bench.arrive(Millis(1), false));
            bench.end(Millis(2), sent, failed(Kind::Reset, true))
        },
    },
    // The node says that it did not run, but a byte had left.
    Refused {
        reason: Reason::MayHaveRun,
        outcome: Outcome::Unknown,
        provoke: || {
            let mut bench = Bench::new(settings(), 9, 2);
            let sent = dispatch(&bench.arrive(Millis(1), false));
            bench.step(Millis(1), Event::Sent { dispatch: sent.id });
            bench.end(Millis(2), sent, failed(Kind::Connect, false))
        },
    },
];

#[test]
fn each_refusal_says_why_and_what_to_conclude() {
    for case in REFUSED {
        let refusal = refusal(&(case.provoke)());
        assert_eq!(refusal.reason, case.reason);
        assert_eq!(refusal.outcome, case.outcome, "{}", case.reason);
    }
    for reason in Reason::ALL {
        assert!(
            REFUSED.iter().any(|case| case.reason == reason),
            "no case for {reason}"
        );
    }
}

struct Retried {
    cause: Cause,
    idempotent: bool,
    sent: bool,
    first_token: bool,
    finish: Finish,
    delivered: u32,
}

const RETRIED: [Retried; 5] = [
    Retried {
        cause: Cause::ReplicaLost,
        idempotent: false,
        sent: false,
        first_token: false,
        finish: Finish::Failed(Failure::new(Kind::Refused, false)),
        delivered: 0,
    },
    Retried {
        cause: Cause::Rejected,
        idempotent: false,
        sent: true,
        first_token: false,
        finish: Finish::Failed(Failure::new(Kind::Rejected, false)),
        delivered: 0,
    },
    Retried {
        cause: Cause::NotRun,
        idempotent: false,
        sent: false,
        first_token: false,
        finish: Finish::Failed(Failure::new(Kind::Connect, false)),
        delivered: 0,
    },
    Retried {
        cause: Cause::Idempotent,
        idempotent: true,
        sent: true,
        first_token: false,
        finish: Finish::Failed(Failure::new(Kind::Status, true)),
        delivered: 0,
    },
    Retried {
        cause: Cause::Resume,
        idempotent: true,
        sent: true,
        first_token: true,
        finish: Finish::Cut { tokens: 7 },
        delivered: 7,
    },
];

#[test]
fn each_retry_says_why_and_goes_elsewhere() {
    for case in RETRIED {
        let mut bench = Bench::new(settings(), 9, 2);
        let first = dispatch(&bench.arrive(Millis(1), case.idempotent));
        if case.sent {
            bench.step(Millis(2), Event::Sent { dispatch: first.id });
        }
        if case.first_token {
            bench.step(Millis(3), Event::FirstToken { dispatch: first.id });
        }
        let mut actions = bench.end(Millis(4), first, case.finish);
        actions.extend(bench.step(LATER, Event::Tick));
        let second = dispatch(&actions);
        assert_eq!(second.cause, Some(case.cause));
        assert_eq!(second.delivered, case.delivered);
        assert_eq!(second.attempt, 2);
        assert_ne!(second.replica, first.replica);
    }
    for cause in Cause::ALL {
        assert!(
            RETRIED.iter().any(|case| case.cause == cause),
            "no case for {}",
            cause.as_str()
        );
    }
}

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
        let mut bench = Bench::new(settings(), 9, 0);
        bench.add("a", 4);
        let replica = bench.replicas[0];
        let report = Report {
            running: case.running,
            queued: case.queued,
            age: Millis(case.age),
        };
        let start = Millis(10_000);
        bench.step(start, Event::Report { replica, report });
        let now = start + Millis(case.waited);
        let arrival = Arrival::new(CallKey(1), bench.endpoint, bench.workspace, now + DEADLINE);
        let actions = bench.step(now, Event::Arrive(arrival));
        assert_eq!(!actions.is_empty(), case.dispatched, "{} running", case.running);
    }
}

#[test]
fn the_own_zone_goes_first_and_overflows_before_it_queues() {
    let mut bench = Bench::new(settings(), 9, 2);
    bench.add("b", 2);
    let mut order = Vec::new();
    for _ in 0..4 {
        order.push(dispatch(&bench.arrive(Millis(1), true)).replica);
    }
    assert!(!order[..2].contains(&bench.replicas[2]));
    assert_eq!(order[2..], [bench.replicas[2]; 2]);
    assert_eq!(bench.arrive(Millis(1), true), []);
}

#[test]
fn one_slow_answer_changes_no_limit_and_many_do() {
    let mut bench = Bench::new(settings(), 9, 0);
    bench.add("a", 8);
    let replica = bench.replicas[0];
    let mut run = |slow: u32| {
        for turn in 0..16 {
            let now = Millis(1);
            let sent = dispatch(&bench.arrive(now, true));
            let latency = if turn < slow { Millis(300) } else { Millis(50) };
            bench.end(now + latency, sent, Finish::Whole);
        }
        bench.router.replica(replica).expect("the replica is live").limit
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
        let mut bench = Bench::new(settings(), 9, 1);
        bench.arrive(Millis(0), true);
        let arrival = Arrival::new(CallKey(9), bench.endpoint, bench.workspace, DEADLINE);
        let waits = bench.step(Millis(0), Event::Arrive(arrival.with_priority(case.priority)));
        assert_eq!(waits, []);
        let actions = bench.step(case.at, Event::Tick);
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
