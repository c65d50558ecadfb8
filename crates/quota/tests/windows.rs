//! Tables of the counts of usage windows.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;
use quota::{Counts, Windows};

const LIMIT: usize = 8;

fn counts(number: u64) -> Counts {
    IndexMap::from([(Arc::from("a"), number)])
}

fn table(windows: &[(u64, u64)]) -> Windows {
    Windows::with_counts(
        windows
            .iter()
            .map(|(window, it)| (*window, counts(*it)))
            .collect(),
    )
}

fn numbers(windows: &Windows) -> Vec<(u64, u64)> {
    let all = windows.as_map().iter();
    all.map(|(window, counts)| (*window, counts["a"])).collect()
}

/// Guards against windows of a restored copy that displace newer ones, which are then counted anew.
#[test]
fn older_windows_of_a_copy_displace_newer_ones() {
    struct Case {
        name: &'static str,
        known: Vec<(u64, u64)>,
        copy: Vec<(u64, u64)>,
        result: Vec<(u64, u64)>,
    }
    let range = |from: u64, to: u64, it: u64| (from..=to).map(|window| (window, it)).collect::<Vec<_>>();
    let cases = [
        Case {
            name: "the copy lacks the last window",
            known: range(2, 9, 1),
            copy: range(1, 8, 1),
            result: range(2, 9, 1),
        },
        Case {
            name: "the copy is older by more than the table holds",
            known: range(21, 28, 1),
            copy: range(1, 8, 1),
            result: range(21, 28, 1),
        },
        Case {
            name: "the copy has windows that the node never saw",
            known: range(8, 9, 1),
            copy: range(1, 8, 2),
            result: [range(2, 7, 2), range(8, 9, 1)].concat(),
        },
        Case {
            name: "known counts are not replaced",
            known: vec![(5, 344)],
            copy: vec![(5, 260)],
            result: vec![(5, 344)],
        },
        Case {
            name: "the record of an earlier build is out of order",
            known: vec![(9, 1)],
            copy: vec![(7, 1), (8, 1), (3, 1)],
            result: vec![(3, 1), (7, 1), (8, 1), (9, 1)],
        },
        Case {
            name: "nothing is known",
            known: Vec::new(),
            copy: range(1, 8, 1),
            result: range(1, 8, 1),
        },
    ];
    for case in &cases {
        let mut known = table(&case.known);
        known.merge(&table(&case.copy), LIMIT);
        assert_eq!(numbers(&known), case.result, "{}", case.name);
        assert_eq!(
            known.newest(),
            case.result.last().map(|(window, _)| *window),
            "{}",
            case.name
        );
    }
}

/// However often copies of any age are merged, a table holds the newest of all windows with the counts that it saw first.
#[test]
fn newest_windows_are_kept_with_their_first_counts() {
    check::property(2_000, 40, holds_the_newest as fn(Vec<(u8, u8)>, u8) -> bool);
}

fn holds_the_newest(steps: Vec<(u8, u8)>, limit: u8) -> bool {
    let limit = usize::from(limit % 12) + 1;
    let mut windows = Windows::new();
    let mut expected: BTreeMap<u64, u64> = BTreeMap::new();
    for (window, number) in steps {
        let (window, number) = (u64::from(window), u64::from(number));
        windows.merge(&table(&[(window, number)]), limit);
        expected.entry(window).or_insert(number);
        while expected.len() > limit {
            expected.pop_first();
        }
    }
    numbers(&windows) == expected.into_iter().collect::<Vec<_>>()
}

/// Guards against counts that nodes of another build can't read, or would drop in another order: they drop the first ones.
#[test]
fn recorded_windows_are_read_by_other_builds() {
    let of_an_earlier_build = r#"{"9":{"a":1},"7":{"a":2,"b":3}}"#;
    let windows: Windows = serde_json::from_str(of_an_earlier_build).expect("windows");
    let written = serde_json::to_string(&windows).expect("text");
    assert_eq!(written, r#"{"7":{"a":2,"b":3},"9":{"a":1}}"#);
}
