//! Fast rollouts of versions that are good, slow, or bad at once or later.

use base::{Millis, Seed};
use rand::RngExt;
use rollout::fast::{Judgement, Phase, Step, Tally, next};

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
    let mut moved: Option<Millis> = None;
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
        let judgement = Judgement::compare(&old, &new);
        let phase = moved.map_or(Phase::Canary, |since| Phase::Moved(at.since(since)));
        match next(phase, at, WITHIN, judgement, &new, true) {
            Step::Wait => {}
            Step::Move => moved = Some(at),
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

#[test]
fn next_step_by_phase_and_time() {
    struct Case {
        name: &'static str,
        phase: Phase,
        elapsed: Millis,
        judgement: Judgement,
        ended: u64,
        is_drained: bool,
        expected: Step,
    }
    let base = Case {
        name: "early",
        phase: Phase::Canary,
        elapsed: Millis(2_000),
        judgement: Judgement::Good,
        ended: 20,
        is_drained: true,
        expected: Step::Wait,
    };
    let cases = [
        Case { ..base },
        Case {
            name: "good in the middle",
            elapsed: Millis(7_000),
            expected: Step::Move,
            ..base
        },
        Case {
            name: "bad at any time",
            judgement: Judgement::Slow,
            expected: Step::Undo,
            ..base
        },
        Case {
            name: "few requests, late",
            elapsed: Millis(9_500),
            judgement: Judgement::Inconclusive,
            ended: 4,
            expected: Step::Move,
            ..base
        },
        Case {
            name: "no requests at the end",
            elapsed: Millis(11_500),
            judgement: Judgement::Inconclusive,
            ended: 0,
            expected: Step::Undo,
            ..base
        },
        Case {
            name: "moved, old requests in flight",
            phase: Phase::Moved(Millis(2_000)),
            elapsed: Millis(9_000),
            is_drained: false,
            expected: Step::Wait,
            ..base
        },
        Case {
            name: "moved and drained",
            phase: Phase::Moved(Millis(2_000)),
            elapsed: Millis(9_000),
            expected: Step::Finish,
            ..base
        },
        Case {
            name: "moved, bad after all",
            phase: Phase::Moved(Millis(1_000)),
            elapsed: Millis(9_000),
            judgement: Judgement::Failing,
            expected: Step::Undo,
            ..base
        },
    ];
    for case in cases {
        let new = Tally {
            ended: case.ended,
            ..Tally::default()
        };
        let step = next(
            case.phase,
            case.elapsed,
            WITHIN,
            case.judgement,
            &new,
            case.is_drained,
        );
        assert_eq!(step, case.expected, "{}", case.name);
    }
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
