//! EXPOSURE.

use margins::Verdict;

use crate::support::{Case, Entry, changed, check, ended, ends};

const NOWHERE: (Option<&str>, Option<&str>) = (None, None);

fn ordered(node: &'static str, time: i64) -> Entry {
    Entry::new(node, time, "move ordered")
        .text("endpoint", "engine")
        .text("target", "v2")
        .number("within_ms", 10_000)
}

fn moved(node: &'static str, time: i64, stage: &str) -> Entry {
    Entry::new(node, time, "move changed")
        .text("endpoint", "engine")
        .text("target", "v2")
        .text("stage", stage)
}

/// A rollout with this number of requests to the new version, of 40 in all.
fn rollout(to_target: i64, stage: &str) -> Vec<Entry> {
    let mut entries = vec![
        changed("a", 500, "r1", "ready"),
        changed("a", 500, "r2", "ready").text("version", "v2"),
        ordered("a", 1_000),
        ordered("b", 1_200),
    ];
    entries.extend(ends("a", (0..40 - to_target).map(|index| 2_000 + index)));
    let to_new = |index| ended("b", 3_000 + index, &format!("n{index}")).text("replica", "r2");
    entries.extend((0..to_target).map(to_new));
    entries.push(moved("a", 4_000, stage));
    entries.push(ended("a", 11_001, "late").text("replica", "r2"));
    entries
}

#[test]
fn requests_to_a_version_that_was_undone() {
    // 0.1 x 40 + 2 = 6 requests.
    check(
        "EXPOSURE",
        "undone",
        &[
            Case {
                name: "just inside the bound",
                entries: rollout(6, "Undone"),
                verdict: Verdict::Kept,
                worst: Some(6.0),
                cases: 1,
                place: (Some("b"), Some("n5")),
            },
            Case {
                name: "just outside the bound",
                entries: rollout(7, "Undone"),
                verdict: Verdict::Broken,
                worst: Some(7.0),
                cases: 1,
                place: (Some("b"), Some("n6")),
            },
            Case {
                name: "a version that was not undone is no case",
                entries: rollout(40, "Done"),
                verdict: Verdict::NoCase,
                worst: None,
                cases: 0,
                place: NOWHERE,
            },
        ],
    );
}
