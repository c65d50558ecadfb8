//! Drains against every possible choice of exports.

use base::Millis;
use fleet::Drain;
use fleet::drain::{Step, Stream};
use quickcheck::TestResult;

const MARGIN: Millis = Millis(200);

/// Idempotent, remaining, tokens and export of one stream.
type Numbers = (bool, u8, u8, u8);

fn streams(numbers: &[Numbers]) -> Vec<Stream> {
    let stream = |(id, it): (usize, &Numbers)| Stream {
        id: id as u64,
        idempotent: it.0,
        remaining: Millis(u64::from(it.1) * 50),
        tokens: u64::from(it.2) * 10,
        export: (it.3 > 20).then(|| Millis(u64::from(it.3) * 8)),
    };
    numbers.iter().take(10).enumerate().map(stream).collect()
}

/// The most tokens that any set of exports saves in time.
fn best(streams: &[Stream], usable: u64) -> u64 {
    let movable = streams
        .iter()
        .filter(|it| it.idempotent && it.remaining.0 > usable);
    let exports: Vec<(u64, u64)> = movable.filter_map(|it| Some((it.export?.0, it.tokens))).collect();
    let sets = 0..1_u32 << exports.len();
    let saved = |set: u32| {
        let chosen = exports.iter().enumerate().filter(|it| set >> it.0 & 1 == 1);
        let (cost, tokens) = chosen.fold((0, 0), |sum, it| (sum.0 + it.1.0, sum.1 + it.1.1));
        if cost <= usable { tokens } else { 0 }
    };
    sets.map(saved).max().unwrap_or(0)
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck hands its inputs over")]
fn plan(numbers: Vec<Numbers>, left: u16) -> TestResult {
    let streams = streams(&numbers);
    let left = Millis(u64::from(left) % 8_000);
    let usable = left - MARGIN;
    let drain = Drain::new(&streams, left, MARGIN);
    assert_eq!(drain.steps.len(), streams.len(), "one step a stream");
    let mut time = 0;
    let mut saved = 0;
    for step in &drain.steps {
        let (Step::Finish(id) | Step::Risk(id) | Step::Export(id) | Step::Recompute(id)) = *step;
        let stream = streams[id as usize];
        let ends = stream.remaining <= usable;
        match step {
            Step::Finish(_) => assert!(ends),
            Step::Risk(_) => assert!(!ends && !stream.idempotent),
            Step::Recompute(_) => assert!(!ends && stream.idempotent),
            Step::Export(_) => {
                assert!(!ends && stream.idempotent);
                time += stream.export.map_or(u64::MAX, |it| it.0);
                saved += stream.tokens;
            }
        }
    }
    assert!(time <= usable.0, "exports end in time");
    assert_eq!(saved, drain.saved);
    assert!(
        drain.saved * 2 >= best(&streams, usable.0),
        "at least half of the best"
    );
    TestResult::passed()
}

#[test]
fn drains_are_whole_and_near_the_best() {
    check::property(2_000, 10, plan as fn(Vec<Numbers>, u16) -> TestResult);
}

#[test]
fn a_small_export_does_not_crowd_out_a_large_one() {
    let stream = |id: u64, tokens: u64, export: u64| Stream {
        id,
        idempotent: true,
        remaining: Millis(60_000),
        tokens,
        export: Some(Millis(export)),
    };
    let streams = [stream(1, 20, 10), stream(2, 1_000, 1_000)];
    let drain = Drain::new(&streams, Millis(1_000) + MARGIN, MARGIN);
    assert_eq!(drain.steps, [Step::Export(2), Step::Recompute(1)]);
    assert_eq!(drain.saved, 1_000);
}
