//! Memory that responses share: never exceeded, and what one holder takes leaves room for the others.

use std::sync::Arc;

use check::property;
use entry::upstream::{Blocks, Budget, Memory};
use http_body_util::BodyExt;

/// Bytes of the budget.
const LIMIT: usize = 10_000;
const SCHEDULES: u64 = 2_000;
const STEPS: usize = 60;

/// A holder changes what it holds.
#[derive(Clone, Copy, Debug)]
struct Resize {
    holder: usize,
    wanted: usize,
}

/// Plays the steps against the sums of what the holders hold.
fn budget_matches_model(steps: Vec<(u8, u16)>) -> bool {
    let mut budget = Budget::new(LIMIT);
    let mut held = [0_usize; 8];
    for (holder, wanted) in steps {
        let step = Resize {
            holder: usize::from(holder) % held.len(),
            wanted: usize::from(wanted) % (LIMIT + LIMIT / 10),
        };
        let before = held[step.holder];
        let others: usize = held.iter().sum::<usize>() - before;
        let is_allowed = step.wanted <= before || step.wanted <= (LIMIT - others) / 2;
        if budget.resize(before, step.wanted).is_ok() != is_allowed {
            return false;
        }
        if is_allowed {
            held[step.holder] = step.wanted;
        }
        let used: usize = held.iter().sum();
        if budget.used() != used || used > LIMIT {
            return false;
        }
    }
    true
}

#[test]
fn budget_is_kept() {
    property(
        SCHEDULES,
        STEPS,
        budget_matches_model as fn(Vec<(u8, u16)>) -> bool,
    );
}

/// Holders that each take all they can get leave this much to another one.
#[test]
fn room_left_by_greedy_holders() {
    struct Case {
        holders: usize,
        room: usize,
    }
    let cases = [
        Case {
            holders: 0,
            room: 5_000,
        },
        Case {
            holders: 1,
            room: 2_500,
        },
        Case {
            holders: 4,
            room: 1_000,
        },
        Case {
            holders: 9,
            room: 500,
        },
        Case {
            holders: 99,
            room: 50,
        },
    ];
    for case in cases {
        let mut budget = Budget::new(LIMIT);
        let mut held = vec![0; case.holders];
        let mut has_grown = true;
        while has_grown {
            has_grown = false;
            for held in &mut held {
                if budget.resize(*held, *held + 1).is_ok() {
                    *held += 1;
                    has_grown = true;
                }
            }
        }
        assert_eq!(budget.resize(0, case.room), Ok(()), "{} holders", case.holders);
        let mut budget_of_more = budget;
        assert!(
            budget_of_more.resize(case.room, case.room * 2 + 2).is_err(),
            "{} holders",
            case.holders
        );
    }
}

static MEMORY: Memory = Memory::new(128 * 1024);
/// Larger than half of the memory.
const TOO_LARGE: usize = 80 * 1024;

#[tokio::test]
async fn blocks_hold_what_was_pushed_and_release_it() {
    let pieces: Arc<[usize]> = Arc::from([0, 1, 700, 1_023, 3, 16_384, 5_000]);
    for _round in 0..100 {
        let mut blocks = Blocks::new(MEMORY.reserve());
        let mut expected = Vec::new();
        for length in &*pieces {
            let piece = vec![*length as u8; *length];
            assert_eq!(blocks.push(&piece), Ok(()));
            expected.extend_from_slice(&piece);
        }
        assert_eq!(
            http_body::Body::size_hint(&blocks).exact(),
            Some(expected.len() as u64)
        );
        let collected = blocks.collect().await.expect("a body");
        assert_eq!(collected.to_bytes(), expected);
        let mut blocks = Blocks::new(MEMORY.reserve());
        assert!(blocks.push(&vec![0; TOO_LARGE]).is_err());
    }
}
