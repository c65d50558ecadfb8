//! Loads never run ahead of the weight store, and the more urgent go first.

use base::Millis;
use fleet::Pace;
use fleet::pace::{Event, Load, Rate, Urgency};
use quickcheck::TestResult;

const RATE: Rate = Rate {
    bytes: 1_000,
    burst: 3_000,
    loads: 4,
};
const LARGEST: u64 = 255 * 20;

fn urgency(number: u8) -> Urgency {
    match number % 4 {
        0 => Urgency::Short,
        1 => Urgency::Replace,
        2 => Urgency::Rollout,
        _ => Urgency::Ahead,
    }
}

struct Start {
    at: u64,
    bytes: u64,
}

fn schedule(steps: Vec<(u8, u8, u8)>) -> TestResult {
    let mut pace = Pace::new(RATE);
    let mut now = 0;
    let mut wanted: Vec<Load> = Vec::new();
    let mut starts: Vec<Start> = Vec::new();
    for (number, (kind, size, wait)) in steps.into_iter().enumerate() {
        now += u64::from(wait) * 10;
        let event = match kind % 5 {
            0..=2 => {
                let load = Load {
                    id: number as u64,
                    bytes: u64::from(size) * 20,
                    urgency: urgency(size),
                };
                wanted.push(load);
                Event::Want(load)
            }
            3 => Event::Drop(u64::from(size)),
            _ => Event::Tick,
        };
        if let Event::Drop(id) = event {
            wanted.retain(|it| it.id != id);
        }
        for id in pace.step(Millis(now), event) {
            let Some(index) = wanted.iter().position(|it| it.id == id) else {
                panic!("{id} isn't wanted, or was started before");
            };
            let load = wanted.remove(index);
            let is_first = wanted
                .iter()
                .all(|it| (it.urgency, it.id) > (load.urgency, load.id));
            assert!(is_first, "{load:?} before a more urgent one");
            starts.push(Start {
                at: now,
                bytes: load.bytes,
            });
        }
        assert_eq!(pace.waiting(), wanted.len());
        assert!(pace.running() <= RATE.loads);
    }
    check_rate(&starts);
    TestResult::passed()
}

/// In every span the bytes stay within the rate, the burst and one load.
fn check_rate(starts: &[Start]) {
    for (first, from) in starts.iter().enumerate() {
        let mut bytes = 0;
        for to in &starts[first..] {
            bytes += to.bytes;
            let span = to.at - from.at;
            let most = span * RATE.bytes / 1_000 + RATE.burst + LARGEST;
            assert!(bytes <= most, "{bytes} in {span} ms");
        }
    }
}

#[test]
fn loads_keep_the_rate_and_the_order() {
    check::property(2_000, 80, schedule as fn(Vec<(u8, u8, u8)>) -> TestResult);
}
