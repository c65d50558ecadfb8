//! The age of the view, and the versions allowed for requests.

use std::sync::Arc;

use base::Millis;
use entry::edge::RolloutOrder;
use entry::view::{Freshness, Rollout, Rollouts, Stage, Versions};
use rollout::Exclusions;

const ENDPOINT: &str = "ledger";
const OLD: &str = "v1";
const NEW: &str = "v2";

#[test]
fn freshness_counts_from_the_request() {
    let limit = Millis(5_000);
    let mut freshness = Freshness::default();
    assert!(!freshness.is_within(Millis(1), limit));
    freshness.confirm(Millis(1_000));
    assert!(freshness.is_within(Millis(5_700), limit));
    assert!(!freshness.is_within(Millis(5_800), limit));
    // The response to an older call does not make the view fresher.
    freshness.confirm(Millis(500));
    assert_eq!(freshness.age(Millis(2_000)), Some(Millis(1_000)));
}

struct Case {
    name: &'static str,
    ordered: Option<u64>,
    recorded: Option<(u64, Stage)>,
    vetoed: Option<u64>,
    draw: f64,
    expected: Versions,
}

/// The orders, records and vetoes of a case.
fn rollouts(case: &Case) -> Rollouts {
    let endpoint: Arc<str> = Arc::from(ENDPOINT);
    let mut rollouts = Rollouts::default();
    if let Some(revision) = case.ordered {
        let order = RolloutOrder {
            endpoint: Arc::clone(&endpoint),
            target: Arc::from(NEW),
            within: Millis(12_000),
        };
        rollouts.orders.insert(Arc::clone(&endpoint), (order, revision));
    }
    if let Some((order, stage)) = case.recorded {
        let record = Rollout {
            from: Arc::from(OLD),
            target: Arc::from(NEW),
            order,
            since_ms: 0,
            stage_since_ms: 0,
            stage,
            share: 0.08,
            answered_at_move: 0,
            excluded: Exclusions::new(),
            reason: String::new(),
            other: serde_json::Map::new(),
        };
        rollouts.put_record(Arc::clone(&endpoint), record);
    }
    if let Some(revision) = case.vetoed {
        rollouts.vetoed.insert(endpoint, revision);
    }
    rollouts
}

#[test]
fn versions_follow_rollouts() {
    let new: Arc<str> = Arc::from(NEW);
    let old: Arc<str> = Arc::from(OLD);
    let only_new = Versions::Only(Arc::clone(&new));
    let except = |version: &Arc<str>| Versions::Except(Arc::from([Arc::clone(version)]));
    let except_new = except(&new);
    let case = |name, ordered, recorded, vetoed, draw, expected| Case {
        name,
        ordered,
        recorded,
        vetoed,
        draw,
        expected,
    };
    let cases = [
        case("no rollout", None, None, None, 0.0, Versions::Any),
        case("no record yet", Some(5), None, None, 0.0, except_new.clone()),
        case(
            "ordered again after it was done",
            Some(9),
            Some((5, Stage::Done)),
            None,
            0.0,
            except(&old),
        ),
        case(
            "record of an older order",
            Some(9),
            Some((5, Stage::Undone)),
            None,
            0.0,
            except_new.clone(),
        ),
        case(
            "within the canary share",
            Some(5),
            Some((5, Stage::Canary)),
            None,
            0.01,
            only_new.clone(),
        ),
        case(
            "outside the canary share",
            Some(5),
            Some((5, Stage::Canary)),
            None,
            0.5,
            except_new.clone(),
        ),
        case(
            "vetoed",
            Some(5),
            Some((5, Stage::Canary)),
            Some(5),
            0.01,
            except_new.clone(),
        ),
        case(
            "veto of an earlier order",
            Some(5),
            Some((5, Stage::Moved)),
            Some(4),
            0.9,
            only_new,
        ),
        case(
            "vetoed in the moved stage",
            Some(5),
            Some((5, Stage::Moved)),
            Some(5),
            0.9,
            except_new.clone(),
        ),
        case("undone", Some(5), Some((5, Stage::Undone)), None, 0.0, except_new),
        case("done", Some(5), Some((5, Stage::Done)), None, 0.9, except(&old)),
    ];
    for case in cases {
        let versions = rollouts(&case).versions(ENDPOINT, case.draw);
        assert_eq!(versions, case.expected, "{}", case.name);
    }
}

#[test]
fn rollout_is_open_until_it_is_done_or_undone() {
    let case = |name, ordered, recorded| Case {
        name,
        ordered,
        recorded,
        vetoed: None,
        draw: 0.0,
        expected: Versions::Any,
    };
    let cases = [
        (case("no order", None, None), false),
        (case("ordered", Some(5), None), true),
        (case("canary", Some(5), Some((5, Stage::Canary))), true),
        (case("moved", Some(5), Some((5, Stage::Moved))), true),
        (case("done", Some(5), Some((5, Stage::Done))), false),
        (case("undone", Some(5), Some((5, Stage::Undone))), false),
        (case("ordered again", Some(9), Some((5, Stage::Done))), true),
    ];
    for (case, is_open) in cases {
        assert_eq!(rollouts(&case).is_open(ENDPOINT), is_open, "{}", case.name);
    }
}

struct Stored {
    name: &'static str,
    record: &'static str,
    is_of_later_build: bool,
}

/// The order has revision 41.
#[test]
fn records_of_later_builds_are_taken_for_lost() {
    const OWN: &str = r#"{"from":"v1","target":"v2","order":41,"since_ms":0,"stage_since_ms":0,"stage":"canary","share":0.1,"reason":""}"#;
    let cases = [
        Stored {
            name: "of this build",
            record: OWN,
            is_of_later_build: false,
        },
        Stored {
            name: "a stage that is not known",
            record: r#"{"order":41,"stage":"held"}"#,
            is_of_later_build: true,
        },
        Stored {
            name: "a stage that is not known, of an earlier order",
            record: r#"{"order":40,"stage":"held"}"#,
            is_of_later_build: false,
        },
        Stored {
            name: "no order",
            record: r#"{"stage":"held"}"#,
            is_of_later_build: false,
        },
        Stored {
            name: "no record",
            record: "{",
            is_of_later_build: false,
        },
    ];
    for case in cases {
        let is_of_later_build = Rollout::is_of_later_build(case.record.as_bytes(), 41);
        assert_eq!(is_of_later_build, case.is_of_later_build, "{}", case.name);
    }
}
