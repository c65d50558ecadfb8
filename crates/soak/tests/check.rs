//! Tests that the checks report exactly the guarantees that a history violates, and that plans are deterministic.

use std::collections::HashMap;
use std::time::Duration;

use base::Millis;
use soak::attempt::{Attempt, End, Key, Kind, Response};
use soak::check::{History, MEMORY_LIMIT_KIB, check};
use soak::disruption::{Cause, Disruption, Revocation};
use soak::finding::Rule;
use soak::plan::{Plan, Size};

fn response(status: u16) -> Response {
    Response {
        status,
        has_retry_after: true,
        seal: Some("seal-a".to_owned()),
        body: Some("done".to_owned()),
    }
}

fn attempt(end: End) -> Attempt {
    Attempt {
        id: "a".to_owned(),
        kind: Kind::Unsafe,
        key: Key::First,
        node: 0,
        sent: Millis(10_000),
        patience: Duration::from_secs(1),
        ended: Millis(10_100),
        end,
    }
}

fn disrupted(cause: Cause) -> Vec<Disruption> {
    vec![Disruption {
        node: 0,
        cause,
        from: Millis(9_000),
        to: Millis(10_050),
    }]
}

struct Case {
    name: &'static str,
    attempt: Attempt,
    executions: usize,
    disruptions: Vec<Disruption>,
    violated: &'static [Rule],
}

impl Case {
    fn new(name: &'static str, attempt: Attempt, executions: usize, violated: &'static [Rule]) -> Self {
        Self {
            name,
            attempt,
            executions,
            disruptions: Vec::new(),
            violated,
        }
    }

    fn with_disruptions(self, disruptions: Vec<Disruption>) -> Self {
        Self { disruptions, ..self }
    }
}

fn cases() -> Vec<Case> {
    let answered = || attempt(End::Told(response(200)));
    let cut = || attempt(End::Cut);
    let refused = || attempt(End::Told(response(503)));
    let late = Attempt {
        ended: Millis(12_000),
        ..answered()
    };
    let misrouted = Response {
        seal: Some("seal-b".to_owned()),
        ..response(200)
    };
    let without_retry_after = Response {
        has_retry_after: false,
        ..response(503)
    };
    let truncated = Response {
        body: Some("id: 1\ndata: piece 1\n\n".to_owned()),
        ..response(200)
    };
    let stream = Attempt {
        kind: Kind::Stream,
        ..attempt(End::Told(truncated))
    };
    vec![
        Case::new("answered", answered(), 1, &[]),
        Case::new("unsafe, executed twice", answered(), 2, &[Rule::Once]),
        Case::new(
            "safe, executed twice",
            Attempt {
                kind: Kind::Safe,
                ..answered()
            },
            2,
            &[],
        ),
        Case::new("answered, never executed", answered(), 0, &[Rule::Truth]),
        Case::new(
            "response to another request",
            attempt(End::Told(misrouted)),
            1,
            &[Rule::Truth],
        ),
        Case::new("incomplete stream", stream, 1, &[Rule::Truth]),
        Case::new("refused", refused(), 0, &[]),
        Case::new("refused, but executed", refused(), 1, &[Rule::NotRun]),
        Case::new(
            "refused without retry-after",
            attempt(End::Told(without_retry_after)),
            0,
            &[Rule::RetryAfter],
        ),
        Case::new("unknown outcome", attempt(End::Told(response(502))), 1, &[]),
        Case::new("late", late.clone(), 1, &[Rule::Deadline]),
        Case::new("late, paused", late.clone(), 1, &[]).with_disruptions(disrupted(Cause::Paused)),
        Case::new("late, terminated", late, 1, &[Rule::Deadline])
            .with_disruptions(disrupted(Cause::Terminated)),
        Case::new("cut", cut(), 0, &[Rule::Lost]),
        Case::new("cut by SIGKILL", cut(), 1, &[]).with_disruptions(disrupted(Cause::Killed)),
        Case::new("cut while paused", cut(), 1, &[Rule::Lost]).with_disruptions(disrupted(Cause::Paused)),
        Case::new("cut at termination, not executed", cut(), 0, &[])
            .with_disruptions(disrupted(Cause::Terminated)),
        Case::new("cut at termination, executed", cut(), 1, &[Rule::Lost])
            .with_disruptions(disrupted(Cause::Terminated)),
    ]
}

#[test]
fn guarantees() {
    for case in cases() {
        let history = History {
            attempts: vec![case.attempt],
            executions: HashMap::from([("a".to_owned(), case.executions)]),
            disruptions: case.disruptions,
            ..History::default()
        };
        let violated: Vec<Rule> = check(&history).iter().map(|it| it.rule).collect();
        assert_eq!(violated, case.violated, "{}", case.name);
    }
}

#[test]
fn revoked_key() {
    struct Case {
        key: Key,
        from: u64,
        to: u64,
        is_violated: bool,
    }
    let cases = [
        Case {
            key: Key::Second,
            from: 4_000,
            to: 20_000,
            is_violated: true,
        },
        Case {
            key: Key::Second,
            from: 6_000,
            to: 20_000,
            is_violated: false,
        },
        Case {
            key: Key::Second,
            from: 4_000,
            to: 10_050,
            is_violated: false,
        },
        Case {
            key: Key::First,
            from: 4_000,
            to: 20_000,
            is_violated: false,
        },
    ];
    for case in cases {
        let history = History {
            attempts: vec![Attempt {
                key: case.key,
                ..attempt(End::Told(response(200)))
            }],
            executions: HashMap::from([("a".to_owned(), 1)]),
            revocations: vec![Revocation {
                from: Millis(case.from),
                to: Millis(case.to),
            }],
            ..History::default()
        };
        let violated: Vec<Rule> = check(&history).iter().map(|it| it.rule).collect();
        let expected: &[Rule] = if case.is_violated { &[Rule::Revoked] } else { &[] };
        assert_eq!(
            violated, expected,
            "{:?} revoked from {} to {}",
            case.key, case.from, case.to
        );
    }
}

#[test]
fn memory_of_nodes() {
    struct Case {
        peaks: &'static [u64],
        violated: &'static [Rule],
    }
    let cases = [
        Case {
            peaks: &[MEMORY_LIMIT_KIB, 0],
            violated: &[],
        },
        Case {
            peaks: &[0, MEMORY_LIMIT_KIB + 1],
            violated: &[Rule::Memory],
        },
    ];
    for case in cases {
        let history = History {
            peak_memory_kib: case.peaks.to_vec(),
            ..History::default()
        };
        let violated: Vec<Rule> = check(&history).iter().map(|it| it.rule).collect();
        assert_eq!(violated, case.violated, "{:?}", case.peaks);
    }
}

#[test]
fn same_seed_gives_same_plan() {
    let size = Size {
        nodes: 3,
        replicas: 6,
    };
    let plan = |seed| Plan::from_seed(seed, Millis(12_000), size);
    assert_eq!(plan(5), plan(5));
    assert_ne!(plan(5), plan(6));
    assert!(plan(5).steps.is_sorted_by_key(|step| step.at));
}
