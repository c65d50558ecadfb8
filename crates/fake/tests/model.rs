//! Tests of the engine model: invariants over random operations, and the timing and caching that policies depend on.

use fake::engine::model::{Config, Engine, Output, Prompt, Sequence};
use indexmap::IndexMap;
use quickcheck::{Arbitrary, Gen};

fn config() -> Config {
    Config {
        iteration_us: 1_000,
        sequence_us: 100,
        prefill_us: 10,
        prefill_chunk: 64,
        max_running: 4,
        cache_blocks: 20,
        export_us: 0,
    }
}

fn sequence(id: u64, text: &str, max_tokens: u32) -> Sequence {
    Sequence {
        id,
        prompt: Prompt::new(text.as_bytes()),
        max_tokens,
        ..Sequence::default()
    }
}

/// Runs the engine until it is idle and returns the end of the last iteration.
fn drain(engine: &mut Engine, outputs: &mut Vec<Output>) -> u64 {
    let mut end = 0;
    while let Some(due) = engine.next_due() {
        engine.advance(due, outputs);
        end = due;
    }
    end
}

#[derive(Clone, Debug)]
enum Op {
    Submit {
        file: u8,
        blocks: u8,
        from: u8,
        tokens: u8,
        priority: i8,
    },
    Cancel {
        distance: u8,
    },
    Wait {
        us: u16,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 4 {
            0 | 1 => Self::Submit {
                file: u8::arbitrary(g) % 3,
                blocks: u8::arbitrary(g) % 12,
                from: u8::arbitrary(g) % 4,
                tokens: u8::arbitrary(g) % 8,
                priority: i8::arbitrary(g) % 3,
            },
            2 => Self::Cancel {
                distance: u8::arbitrary(g) % 6,
            },
            _ => Self::Wait {
                us: u16::arbitrary(g),
            },
        }
    }
}

/// Checks that every sequence that is not cancelled outputs each token once and in order, followed by `Done`,
/// and that the counters add up.
fn sequences_are_complete(ops: Vec<Op>) -> bool {
    let mut engine = Engine::new(config());
    let mut outputs = Vec::new();
    let mut expected = IndexMap::new();
    let mut now = 0;
    let mut requested_tokens = 0;
    for (id, op) in (0..).zip(ops) {
        engine.advance(now, &mut outputs);
        match op {
            Op::Submit {
                file,
                blocks,
                from,
                tokens,
                priority,
            } => {
                let text = format!("{file:x}").repeat(usize::from(blocks) * 100);
                let sequence = Sequence {
                    resume_from: from.into(),
                    priority: priority.into(),
                    ..sequence(id, &text, tokens.into())
                };
                requested_tokens += u64::from(sequence.prompt.tokens + sequence.resume_from);
                engine.submit(now, sequence);
                expected.insert(id, (u32::from(from), u32::from(tokens)));
            }
            Op::Cancel { distance } => {
                let Some(id) = id.checked_sub(u64::from(distance)) else {
                    continue;
                };
                if engine.cancel(id) {
                    expected.shift_remove(&id);
                    outputs
                        .retain(|output| !matches!(output, Output::Token { id: other, .. } if *other == id));
                }
            }
            Op::Wait { us } => now += u64::from(us),
        }
        if engine.running() > config().max_running || engine.cached_blocks() > config().cache_blocks {
            return false;
        }
    }
    drain(&mut engine, &mut outputs);
    let counts = engine.counts();
    let totals_match = counts.cancelled > 0 || counts.prefilled + counts.cached == requested_tokens;
    totals_match
        && expected
            .iter()
            .all(|(id, (from, end))| outputs_are_complete(&outputs, *id, *from, *end))
}

fn outputs_are_complete(outputs: &[Output], id: u64, from: u32, end: u32) -> bool {
    let own_outputs = outputs.iter().filter(|output| match output {
        Output::Token { id: other, .. } | Output::Done { id: other } => *other == id,
    });
    let tokens = (from..end).map(|index| Output::Token { id, index });
    tokens.chain([Output::Done { id }]).eq(own_outputs.copied())
}

#[test]
fn every_sequence_is_complete() {
    check::property(2_000, 40, sequences_are_complete as fn(Vec<Op>) -> bool);
}

#[test]
fn larger_batches_take_longer_per_token() {
    let mut durations = Vec::new();
    for batch in [1, 2, 4] {
        let mut engine = Engine::new(config());
        for id in 0..batch {
            engine.submit(0, sequence(id, "", 10));
        }
        durations.push(drain(&mut engine, &mut Vec::new()));
    }
    // The first sequence starts alone. The others join after its first iteration and finish one iteration later.
    assert_eq!(
        durations,
        [11_000, 1_100 + 9 * 1_200 + 1_100, 1_100 + 9 * 1_400 + 1_300]
    );
}

#[test]
fn only_uncached_tokens_are_computed() {
    struct Case {
        text: String,
        from: u32,
        imported: u32,
        prefilled: u64,
        cached: u64,
        recomputed: u64,
    }
    let file = "f".repeat(640);
    let case = |text: String, from, imported, prefilled, cached, recomputed| Case {
        text,
        from,
        imported,
        prefilled,
        cached,
        recomputed,
    };
    // The cases run in order on the same engine.
    let cases = [
        case(file.clone(), 0, 0, 160, 0, 0),
        case(file.clone(), 0, 0, 0, 160, 0),
        case(format!("{file}follow-up"), 0, 0, 3, 160, 0),
        case(file.clone(), 5, 0, 5, 160, 5),
        case("g".repeat(640), 5, 165, 0, 0, 0),
        case("h".repeat(640), 5, 160, 5, 0, 5),
        case("i".repeat(640), 5, 0, 165, 0, 165),
        case(file, 0, 0, 160, 0, 0),
    ];
    let mut engine = Engine::new(config());
    for (id, case) in (0..).zip(cases) {
        let before = engine.counts();
        engine.submit(
            0,
            Sequence {
                resume_from: case.from,
                imported: case.imported,
                ..sequence(id, &case.text, 6)
            },
        );
        drain(&mut engine, &mut Vec::new());
        let counts = engine.counts();
        assert_eq!(counts.prefilled - before.prefilled, case.prefilled, "case {id}");
        assert_eq!(counts.cached - before.cached, case.cached, "case {id}");
        assert_eq!(
            counts.recomputed - before.recomputed,
            case.recomputed,
            "case {id}"
        );
    }
}

#[test]
fn higher_priority_starts_first() {
    let mut engine = Engine::new(Config {
        max_running: 1,
        ..config()
    });
    for (id, priority) in [(0, 0), (1, 0), (2, 5), (3, 0)] {
        engine.submit(
            0,
            Sequence {
                priority,
                ..sequence(id, "", 1)
            },
        );
    }
    let mut outputs = Vec::new();
    drain(&mut engine, &mut outputs);
    let ends = outputs.iter().filter_map(|output| match output {
        Output::Done { id } => Some(*id),
        Output::Token { .. } => None,
    });
    assert_eq!(ends.collect::<Vec<_>>(), [0, 2, 1, 3]);
}
