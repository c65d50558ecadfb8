//! What a node believes: how old its view is, and which versions requests may go to.

use std::sync::Arc;

use base::Millis;
use entry::edge::Move;
use entry::view::{Moves, Proof, Record, Stage, Versions};

const ENDPOINT: &str = "ledger";
const OLD: &str = "v1";
const NEW: &str = "v2";

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

struct Case {
    name: &'static str,
    ordered: Option<u64>,
    recorded: Option<(u64, Stage)>,
    vetoed: Option<u64>,
    draw: f64,
    expected: Versions,
}

/// Orders, records and vetoes of a case.
fn moves(case: &Case) -> Moves {
    let endpoint: Arc<str> = Arc::from(ENDPOINT);
    let mut moves = Moves::default();
    if let Some(revision) = case.ordered {
        let order = Move {
            endpoint: Arc::clone(&endpoint),
            target: Arc::from(NEW),
            within: Millis(12_000),
        };
        moves.orders.insert(Arc::clone(&endpoint), (order, revision));
    }
    if let Some((order, stage)) = case.recorded {
        let record = Record {
            from: Arc::from(OLD),
            target: Arc::from(NEW),
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
        moves.vetoed.insert(endpoint, revision);
    }
    moves
}

#[test]
fn versions_follow_orders_and_records() {
    let new: Arc<str> = Arc::from(NEW);
    let old: Arc<str> = Arc::from(OLD);
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
        let versions = moves(&case).versions(ENDPOINT, case.draw);
        assert_eq!(versions, case.expected, "{}", case.name);
    }
}
