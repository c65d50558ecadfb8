//! CONFIG.

use margins::Verdict;

use crate::support::{Case, Entry, check, configured, ended, started};

const NOWHERE: (Option<&str>, Option<&str>) = (None, None);

fn handled(node: &'static str, time: i64, id: &str, version: i64) -> Entry {
    ended(node, time, id).number("configuration", version)
}

fn refused(node: &'static str, time: i64, id: &str, version: i64) -> Entry {
    Entry::new(node, time, "request refused")
        .text("id", id)
        .text("reason", "no_route")
        .number("configuration", version)
}

#[test]
fn time_until_a_configuration_is_in_force() {
    check(
        "CONFIG",
        "in force",
        &[
            Case {
                name: "just inside the bound",
                entries: vec![
                    started("a", 0),
                    started("b", 0),
                    configured("a", 1_000, 2),
                    configured("b", 4_000, 2),
                ],
                verdict: Verdict::Kept,
                worst: Some(3_000.0),
                cases: 2,
                place: (Some("b"), None),
            },
            Case {
                name: "just outside the bound",
                entries: vec![
                    started("a", 0),
                    started("b", 0),
                    configured("a", 1_000, 2),
                    configured("b", 4_001, 2),
                ],
                verdict: Verdict::Broken,
                worst: Some(3_001.0),
                cases: 2,
                place: (Some("b"), None),
            },
            Case {
                name: "a node that never has it, until its last line",
                entries: vec![
                    configured("a", 0, 1),
                    configured("b", 0, 1),
                    configured("a", 1_000, 2),
                    ended("b", 4_001, "q1"),
                    ended("a", 9_000, "q2"),
                ],
                verdict: Verdict::Broken,
                worst: Some(3_001.0),
                cases: 4,
                place: (Some("b"), None),
            },
            Case {
                name: "a node that skips a version is late with it",
                entries: vec![
                    configured("a", 0, 1),
                    configured("b", 0, 1),
                    configured("a", 1_000, 2),
                    configured("a", 4_000, 3),
                    configured("b", 4_001, 3),
                ],
                verdict: Verdict::Broken,
                worst: Some(3_001.0),
                cases: 6,
                place: (Some("b"), None),
            },
            Case {
                name: "a node is not late with what was in force before it started",
                entries: vec![
                    started("a", 0),
                    configured("a", 1_000, 2),
                    started("b", 8_000),
                    configured("b", 8_500, 2),
                ],
                verdict: Verdict::Kept,
                worst: Some(500.0),
                cases: 2,
                place: (Some("b"), None),
            },
            Case {
                name: "a node that is gone is not late",
                entries: vec![
                    configured("a", 0, 1),
                    configured("b", 0, 1),
                    ended("b", 500, "q1"),
                    configured("a", 1_000, 2),
                    ended("a", 9_000, "q2"),
                ],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 3,
                place: (Some("a"), None),
            },
            Case {
                name: "no configuration",
                entries: vec![started("a", 0)],
                verdict: Verdict::NoCase,
                worst: None,
                cases: 0,
                place: NOWHERE,
            },
        ],
    );
}

#[test]
fn older_configurations_do_not_come_back() {
    check(
        "CONFIG",
        "came back",
        &[
            Case {
                name: "just inside the bound",
                entries: vec![
                    configured("a", 1_000, 1),
                    configured("a", 2_000, 2),
                    handled("a", 2_250, "q1", 1),
                ],
                verdict: Verdict::Kept,
                worst: Some(250.0),
                cases: 3,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "just outside the bound",
                entries: vec![
                    configured("a", 1_000, 1),
                    configured("a", 2_000, 2),
                    refused("a", 2_251, "q1", 1),
                ],
                verdict: Verdict::Broken,
                worst: Some(251.0),
                cases: 3,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "a request counts from its arrival",
                entries: vec![
                    configured("a", 1_000, 1),
                    configured("a", 2_000, 2),
                    handled("a", 9_000, "q1", 1).number("took_ms", 7_100),
                ],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 3,
                place: NOWHERE,
            },
            Case {
                name: "since the first newer one",
                entries: vec![
                    configured("a", 1_000, 1),
                    configured("a", 2_000, 2),
                    configured("a", 2_240, 3),
                    handled("a", 2_251, "q1", 1),
                ],
                verdict: Verdict::Broken,
                worst: Some(251.0),
                cases: 4,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "a node that puts an older one into force",
                entries: vec![configured("a", 1_000, 2), configured("a", 2_000, 1)],
                verdict: Verdict::Broken,
                worst: Some(1_000.0),
                cases: 2,
                place: (Some("a"), None),
            },
            Case {
                name: "another node, whose configuration is not known, and another process may have an older one",
                entries: vec![
                    configured("a", 1_000, 2),
                    handled("b", 2_000, "q1", 1),
                    started("a", 3_000),
                    configured("a", 3_100, 1),
                ],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 2,
                place: NOWHERE,
            },
        ],
    );
}
