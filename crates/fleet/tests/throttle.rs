//! Checks that loads start within the rate limit and in order of priority, on random schedules.

use base::Millis;
use fleet::Throttle;
use fleet::throttle::{Event, Limits, ModelLoad, Priority};
use quickcheck::TestResult;

const LIMITS: Limits = Limits {
    bytes_per_second: 1_000,
    burst_bytes: 3_000,
    max_running: 4,
};
const MAX_LOAD_BYTES: u64 = 255 * 20;

fn priority(number: u8) -> Priority {
    match number % 4 {
        0 => Priority::Shortage,
        1 => Priority::Replacement,
        2 => Priority::Rollout,
        _ => Priority::Prewarm,
    }
}

struct Start {
    at: u64,
    bytes: u64,
}

fn rate_and_priority_hold(steps: Vec<(u8, u8, u8)>) -> TestResult {
    let mut throttle = Throttle::new(LIMITS);
    let mut now = 0;
    let mut queued: Vec<ModelLoad> = Vec::new();
    let mut starts: Vec<Start> = Vec::new();
    for (number, (kind, size, wait)) in steps.into_iter().enumerate() {
        now += u64::from(wait) * 10;
        let event = match kind % 5 {
            0..=2 => {
                let load = ModelLoad {
                    id: number as u64,
                    bytes: u64::from(size) * 20,
                    priority: priority(size),
                };
                queued.push(load);
                Event::Enqueue(load)
            }
            3 => Event::Remove(u64::from(size)),
            _ => Event::Tick,
        };
        if let Event::Remove(id) = event {
            queued.retain(|it| it.id != id);
        }
        for id in throttle.step(Millis(now), event) {
            let Some(index) = queued.iter().position(|it| it.id == id) else {
                panic!("load {id} is not queued or was started before");
            };
            let load = queued.remove(index);
            let is_first = queued
                .iter()
                .all(|it| (it.priority, it.id) > (load.priority, load.id));
            assert!(is_first, "{load:?} started before a load of higher priority");
            starts.push(Start {
                at: now,
                bytes: load.bytes,
            });
        }
        assert_eq!(throttle.queued(), queued.len());
        assert!(throttle.running() <= LIMITS.max_running);
    }
    check_rate(&starts);
    TestResult::passed()
}

/// Checks that the bytes started in every time span stay within the rate, the burst and one load.
fn check_rate(starts: &[Start]) {
    for (first, from) in starts.iter().enumerate() {
        let mut bytes = 0;
        for to in &starts[first..] {
            bytes += to.bytes;
            let span = to.at - from.at;
            let allowed = span * LIMITS.bytes_per_second / 1_000 + LIMITS.burst_bytes + MAX_LOAD_BYTES;
            assert!(
                bytes <= allowed,
                "{bytes} bytes started in {span} ms, at most {allowed} allowed"
            );
        }
    }
}

#[test]
fn loads_start_within_the_rate_and_by_priority() {
    check::property(
        2_000,
        80,
        rate_and_priority_hold as fn(Vec<(u8, u8, u8)>) -> TestResult,
    );
}
