//! Fast rollouts of versions that are good, slow, or bad at once or later.

use base::{Millis, Seed};
use rand::RngExt;
use rollout::fast::{Evidence, Judgement, Phase, Step, Tally, next};

const WITHIN: Millis = Millis(12_000);
const CANARY_SHARE: f64 = 0.08;
const REQUESTS_PER_SECOND: f64 = 40.0;

#[derive(Clone, Copy, Debug)]
struct Version {
    name: &'static str,
    /// Fraction of requests that fail from `fails_from` on.
    failure_rate: f64,
    fails_from: Millis,
    /// Latency as a multiple of the old version's.
    latency_factor: f64,
    /// Whether the rollout must finish, and the most requests that the new version may get.
    expect_finish: bool,
    max_requests: u32,
}

/// Simulates a rollout; returns its final step and the number of requests that the new version got.
fn simulate(version: Version, seed: Seed) -> (Step, u32) {
    let mut generator = seed.generator();
    let (mut old, mut new) = (Tally::default(), Tally::default());
    let mut moved: Option<(Millis, u64)> = None;
    let mut sent = 0;
    let mut now = 0.0;
    loop {
        now += 1_000.0 / REQUESTS_PER_SECOND;
        let at = Millis(now as u64);
        let is_new = moved.is_some() || generator.random_bool(CANARY_SHARE);
        let old_latency_ms = generator.random_range(50.0..200.0);
        if is_new {
            sent += 1;
            let failure_rate = if at >= version.fails_from {
                version.failure_rate
            } else {
                0.01
            };
            let latency = Millis((old_latency_ms * version.latency_factor) as u64);
            new.record_answer(latency);
            new.record_end(generator.random_bool(failure_rate));
        } else {
            old.record_answer(Millis(old_latency_ms as u64));
            old.record_end(generator.random_bool(0.01));
        }
        let phase = moved.map_or(Phase::Canary, |(moved_at, answered_before)| Phase::Moved {
            since: at.since(moved_at),
            answered_before,
        });
        let evidence = Evidence {
            old,
            new,
            share: CANARY_SHARE,
            is_drained: true,
        };
        match next(phase, at, WITHIN, &evidence) {
            Step::Wait => {}
            Step::Move => moved = Some((at, new.timed)),
            end @ (Step::Finish | Step::Undo) => return (end, sent),
        }
    }
}

#[test]
fn moves_end_by_quality_of_the_version() {
    let good = Version {
        name: "good",
        failure_rate: 0.01,
        fails_from: Millis::ZERO,
        latency_factor: 1.0,
        expect_finish: true,
        max_requests: u32::MAX,
    };
    let versions = [
        good,
        Version {
            name: "fails half of its requests",
            failure_rate: 0.5,
            expect_finish: false,
            max_requests: 30,
            ..good
        },
        Version {
            name: "fails a third of its requests",
            failure_rate: 0.33,
            expect_finish: false,
            max_requests: 45,
            ..good
        },
        Version {
            name: "fails after four seconds",
            failure_rate: 0.6,
            fails_from: Millis(4_000),
            expect_finish: false,
            max_requests: 60,
            ..good
        },
        Version {
            name: "four times slower",
            latency_factor: 4.0,
            expect_finish: false,
            max_requests: 30,
            ..good
        },
    ];
    for version in versions {
        let mut wrong = 0;
        for seed in 0..100 {
            let (end, sent) = simulate(version, Seed(seed));
            let expected = if version.expect_finish {
                Step::Finish
            } else {
                Step::Undo
            };
            wrong += u32::from(end != expected || sent > version.max_requests);
        }
        assert!(wrong <= 5, "{}: {wrong} of 100 runs ended wrongly", version.name);
    }
}

/// Outcomes of a version: requests that ended, failed and were answered, and the logarithm of the answers' latency.
const fn tally(ended: u64, failed: u64, timed: u64, log_latency: f64) -> Tally {
    Tally {
        ended,
        failed,
        timed,
        log_ms: timed as f64 * log_latency,
    }
}

/// Logarithms of latencies in milliseconds.
const USUAL: f64 = 5.0;
const FOUR_TIMES: f64 = 6.4;

struct Case {
    name: &'static str,
    phase: Phase,
    elapsed: Millis,
    old: Tally,
    new: Tally,
    judgement: Judgement,
    is_drained: bool,
    expected: Step,
}

const fn moved(since: u64) -> Phase {
    Phase::Moved {
        since: Millis(since),
        answered_before: 20,
    }
}

const BASE: Case = Case {
    name: "early",
    phase: Phase::Canary,
    elapsed: Millis(2_000),
    old: tally(230, 0, 230, USUAL),
    new: tally(20, 0, 20, USUAL),
    judgement: Judgement::Good,
    is_drained: true,
    expected: Step::Wait,
};

const CASES: [Case; 13] = [
    Case { ..BASE },
    Case {
        name: "good in the middle",
        elapsed: Millis(7_000),
        expected: Step::Move,
        ..BASE
    },
    Case {
        name: "bad at any time",
        new: tally(20, 0, 20, FOUR_TIMES),
        judgement: Judgement::Slow,
        expected: Step::Undo,
        ..BASE
    },
    Case {
        name: "few requests, late",
        elapsed: Millis(9_500),
        old: tally(46, 0, 46, USUAL),
        new: tally(4, 0, 4, USUAL),
        judgement: Judgement::Inconclusive,
        expected: Step::Move,
        ..BASE
    },
    Case {
        name: "few of many requests answered, late",
        elapsed: Millis(9_500),
        old: tally(400, 0, 400, USUAL),
        new: tally(3, 0, 3, USUAL),
        judgement: Judgement::Inconclusive,
        expected: Step::Wait,
        ..BASE
    },
    Case {
        name: "few of many requests answered, at the end",
        elapsed: Millis(11_500),
        old: tally(400, 0, 400, USUAL),
        new: tally(3, 0, 3, USUAL),
        judgement: Judgement::Inconclusive,
        expected: Step::Undo,
        ..BASE
    },
    Case {
        name: "no requests at the end",
        elapsed: Millis(11_500),
        new: tally(0, 0, 0, USUAL),
        judgement: Judgement::Inconclusive,
        expected: Step::Undo,
        ..BASE
    },
    Case {
        name: "moved, old requests in flight",
        phase: moved(3_000),
        elapsed: Millis(9_000),
        new: tally(100, 0, 100, USUAL),
        is_drained: false,
        expected: Step::Wait,
        ..BASE
    },
    Case {
        name: "moved and drained",
        phase: moved(3_000),
        elapsed: Millis(9_000),
        new: tally(100, 0, 100, USUAL),
        expected: Step::Finish,
        ..BASE
    },
    Case {
        name: "moved, old requests in flight at the end",
        phase: moved(4_000),
        elapsed: Millis(11_500),
        new: tally(100, 0, 100, USUAL),
        is_drained: false,
        expected: Step::Finish,
        ..BASE
    },
    Case {
        name: "moved, nothing answered since",
        phase: moved(3_000),
        elapsed: Millis(9_000),
        expected: Step::Wait,
        ..BASE
    },
    Case {
        name: "moved, nothing answered since, at the end",
        phase: moved(4_000),
        elapsed: Millis(11_500),
        expected: Step::Undo,
        ..BASE
    },
    Case {
        name: "moved, bad after all",
        phase: moved(1_000),
        elapsed: Millis(9_000),
        new: tally(40, 12, 28, USUAL),
        judgement: Judgement::Failing,
        expected: Step::Undo,
        ..BASE
    },
];

#[test]
fn next_step_by_phase_and_time() {
    for case in CASES {
        let evidence = Evidence {
            old: case.old,
            new: case.new,
            share: CANARY_SHARE,
            is_drained: case.is_drained,
        };
        assert_eq!(evidence.judgement(), case.judgement, "{}", case.name);
        let step = next(case.phase, case.elapsed, WITHIN, &evidence);
        assert_eq!(step, case.expected, "{}", case.name);
    }
}

/// Interval between requests.
const REQUEST_INTERVAL: Millis = Millis(25);
/// One of this many requests goes to the new version.
const NEW_EVERY: u64 = 12;
/// Time from which the new version answers nothing.
const ANSWERS_UNTIL: Millis = Millis(1_200);

/// A version that answers none of its requests in time must not be kept because none of them has failed.
#[test]
fn version_without_answers_is_completed() {
    let (mut old, mut new) = (Tally::default(), Tally::default());
    let mut moved: Option<(Millis, u64)> = None;
    for number in 0..WITHIN.0 / REQUEST_INTERVAL.0 {
        let at = Millis(number * REQUEST_INTERVAL.0);
        let is_new = moved.is_some() || number % NEW_EVERY == 0;
        if !is_new {
            old.record_answer(Millis(100));
            old.record_end(false);
        } else if at < ANSWERS_UNTIL {
            new.record_answer(Millis(100));
            new.record_end(false);
        }
        let phase = moved.map_or(Phase::Canary, |(moved_at, answered_before)| Phase::Moved {
            since: at.since(moved_at),
            answered_before,
        });
        let evidence = Evidence {
            old,
            new,
            share: CANARY_SHARE,
            is_drained: true,
        };
        match next(phase, at, WITHIN, &evidence) {
            Step::Wait => {}
            Step::Move => moved = Some((at, new.timed)),
            Step::Finish => panic!("completed at {at} with {} answers", new.timed),
            Step::Undo => {
                assert!(new.timed >= 3, "the rule for few requests is not met");
                return;
            }
        }
    }
    panic!("not decided in time");
}

/// Streams of a slow version that have begun and not ended yet.
#[test]
fn slow_streams_are_judged_only_when_they_end() {
    let (mut old, mut new) = (Tally::default(), Tally::default());
    for _ in 0..8 {
        old.record_answer(Millis(150));
        new.record_answer(Millis(900));
    }
    assert_eq!(Judgement::compare(&old, &new), Judgement::Slow);
}
