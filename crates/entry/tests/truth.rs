//! True time outlives jumps of the time of day; versions follow orders and records; counts keep their windows.

use std::sync::Arc;

use base::Millis;
use entry::counts::Counts;
use entry::edge::Move;
use entry::truth::Truth;
use entry::view::{Moves, Proof, Record, Stage, Versions};
use indexmap::IndexMap;

const START: u64 = 1_700_000_000_000;

#[test]
fn jumps_change_nothing() {
    let mut truth = Truth::new();
    assert_eq!(truth.unix_ms(Millis(5)), None);
    for second in 0..120_u64 {
        let now = Millis(second * 1_000);
        let jump = if (40..52).contains(&second) { 2_400 } else { 0 };
        truth.note(now, START + now.0 + jump);
        assert_eq!(truth.unix_ms(now), Some(START + now.0), "second {second}");
    }
}

#[test]
fn a_view_proves_itself_from_the_sending() {
    let life = Millis(5_000);
    let mut proof = Proof::default();
    assert!(!proof.holds(Millis(1), life));
    proof.note(Millis(1_000));
    assert!(proof.holds(Millis(5_700), life));
    assert!(!proof.holds(Millis(5_800), life));
    // An answer to an older call proves nothing newer.
    proof.note(Millis(500));
    assert_eq!(proof.age(Millis(2_000)), Some(Millis(1_000)));
}

#[test]
fn versions_follow_orders_and_records() {
    struct Case {
        name: &'static str,
        ordered: Option<u64>,
        recorded: Option<(u64, Stage)>,
        vetoed: Option<u64>,
        draw: f64,
        expected: Versions,
    }
    let endpoint: Arc<str> = Arc::from("ledger");
    let new: Arc<str> = Arc::from("v2");
    let old: Arc<str> = Arc::from("v1");
    let only_new = Versions::Only(Arc::clone(&new));
    let but_new = Versions::But(Arc::clone(&new));
    let case = |name, ordered, recorded, vetoed, draw, expected| Case {
        name,
        ordered,
        recorded,
        vetoed,
        draw,
        expected,
    };
    let cases = [
        case("nothing", None, None, None, 0.0, Versions::Any),
        case("no record yet", Some(5), None, None, 0.0, but_new.clone()),
        case(
            "an older record",
            Some(9),
            Some((5, Stage::Done)),
            None,
            0.0,
            but_new.clone(),
        ),
        case(
            "small share",
            Some(5),
            Some((5, Stage::Canary)),
            None,
            0.01,
            only_new.clone(),
        ),
        case(
            "the rest",
            Some(5),
            Some((5, Stage::Canary)),
            None,
            0.5,
            but_new.clone(),
        ),
        case(
            "vetoed",
            Some(5),
            Some((5, Stage::Canary)),
            Some(5),
            0.01,
            but_new.clone(),
        ),
        case(
            "an earlier veto",
            Some(5),
            Some((5, Stage::Moved)),
            Some(4),
            0.9,
            only_new,
        ),
        case(
            "vetoed at full share",
            Some(5),
            Some((5, Stage::Moved)),
            Some(5),
            0.9,
            but_new.clone(),
        ),
        case("undone", Some(5), Some((5, Stage::Undone)), None, 0.0, but_new),
        case(
            "done",
            Some(5),
            Some((5, Stage::Done)),
            None,
            0.9,
            Versions::But(Arc::clone(&old)),
        ),
    ];
    for case in cases {
        let mut moves = Moves::default();
        if let Some(revision) = case.ordered {
            let order = Move {
                endpoint: Arc::clone(&endpoint),
                target: Arc::clone(&new),
                within: Millis(12_000),
            };
            moves.orders.insert(Arc::clone(&endpoint), (order, revision));
        }
        if let Some((order, stage)) = case.recorded {
            let record = Record {
                from: Arc::clone(&old),
                target: Arc::clone(&new),
                order,
                since_ms: 0,
                stage_since_ms: 0,
                stage,
                share: 0.08,
                reason: String::new(),
            };
            moves.records.insert(Arc::clone(&endpoint), record);
        }
        if let Some(revision) = case.vetoed {
            moves.vetoed.insert(Arc::clone(&endpoint), revision);
        }
        assert_eq!(
            moves.versions(&endpoint, case.draw),
            case.expected,
            "{}",
            case.name
        );
    }
}

#[test]
fn counts_keep_the_newest_windows() {
    let mut counts = Counts::default();
    let workspace: Arc<str> = Arc::from("tills");
    for window in 0..20 {
        for _request in 0..window {
            counts.add(window, &workspace);
        }
    }
    assert_eq!(counts.newest(), Some(19));
    let mut sum = IndexMap::new();
    counts.add_to(18, &mut sum);
    counts.add_to(3, &mut sum);
    assert_eq!(sum.get(&workspace), Some(&18));
}
