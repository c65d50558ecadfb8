//! LOST.

use margins::Verdict;

use crate::support::{Case, Entry, check, ended, failed, started};

const NOWHERE: (Option<&str>, Option<&str>) = (None, None);

fn ending(node: &'static str, time: i64, waiting: i64) -> Entry {
    Entry::new(node, time, "node ends").number("waiting", waiting)
}

fn broken(node: &'static str, time: i64, id: &str) -> Entry {
    ended(node, time, id).text("outcome", "stream_broken")
}

#[test]
fn requests_without_an_outcome() {
    check(
        "LOST",
        "requests without an outcome",
        &[
            Case {
                name: "just inside the bound",
                entries: vec![failed("a", 1_000, "q1", "r1"), ended("a", 2_000, "q2")],
                verdict: Verdict::Kept,
                worst: Some(1.0),
                cases: 2,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "just outside the bound, one of them in a process that was killed",
                entries: vec![
                    failed("a", 1_000, "q1", "r1"),
                    started("a", 1_500),
                    failed("b", 1_600, "q2", "r1"),
                ],
                verdict: Verdict::Broken,
                worst: Some(2.0),
                cases: 2,
                place: (Some("b"), Some("q2")),
            },
            Case {
                name: "all have one",
                entries: vec![
                    failed("a", 1_000, "q1", "r1"),
                    ended("a", 1_100, "q1").number("attempts", 2),
                ],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
            Case {
                name: "no request",
                entries: vec![started("a", 1_000)],
                verdict: Verdict::NoCase,
                worst: None,
                cases: 0,
                place: NOWHERE,
            },
        ],
    );
}

#[test]
fn longest_time_without_an_outcome() {
    check(
        "LOST",
        "longest",
        &[
            Case {
                name: "just inside the bound",
                entries: vec![
                    ended("a", 9_000, "q1").number("took_ms", 5_500),
                    ended("a", 9_000, "q2").number("took_ms", 300),
                ],
                verdict: Verdict::Kept,
                worst: Some(5_500.0),
                cases: 2,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "just outside the bound",
                entries: vec![ended("a", 9_000, "q1").number("took_ms", 5_501)],
                verdict: Verdict::Broken,
                worst: Some(5_501.0),
                cases: 1,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "the larger share goes before the larger value, as routes have bounds of their own",
                entries: vec![
                    ended("a", 30_000, "q1")
                        .number("took_ms", 6_000)
                        .text("route", "reports"),
                    ended("a", 30_000, "q2").number("took_ms", 5_000),
                ],
                verdict: Verdict::Kept,
                worst: Some(5_000.0),
                cases: 2,
                place: (Some("a"), Some("q2")),
            },
            Case {
                name: "a request that is open at the node's last line",
                entries: vec![
                    failed("a", 1_000, "q1", "r1"),
                    ended("a", 6_501, "q2"),
                    ended("b", 9_000, "q3"),
                ],
                verdict: Verdict::Broken,
                worst: Some(5_501.0),
                cases: 3,
                place: (Some("a"), Some("q1")),
            },
        ],
    );
}

#[test]
fn requests_open_at_the_end_of_a_process() {
    check(
        "LOST",
        "process's end",
        &[
            Case {
                name: "just inside the bound",
                entries: vec![ending("a", 1_000, 0), ending("b", 1_000, 0)],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 2,
                place: (Some("a"), None),
            },
            Case {
                name: "just outside the bound",
                entries: vec![ending("a", 1_000, 0), ending("b", 1_000, 1)],
                verdict: Verdict::Broken,
                worst: Some(1.0),
                cases: 2,
                place: (Some("b"), None),
            },
            Case {
                name: "the larger number beyond a bound of zero",
                entries: vec![
                    ending("a", 1_000, 1),
                    ending("b", 1_000, 3),
                    ending("c", 1_000, 2),
                ],
                verdict: Verdict::Broken,
                worst: Some(3.0),
                cases: 3,
                place: (Some("b"), None),
            },
        ],
    );
}

#[test]
fn streams_broken_while_time_was_left() {
    check(
        "LOST",
        "streams broken",
        &[
            Case {
                name: "just inside the bound",
                entries: vec![broken("a", 1_000, "q1"), ended("a", 1_000, "q2")],
                verdict: Verdict::Kept,
                worst: Some(1.0),
                cases: 2,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "just outside the bound",
                entries: vec![broken("a", 1_000, "q1"), broken("b", 1_100, "q2")],
                verdict: Verdict::Broken,
                worst: Some(2.0),
                cases: 2,
                place: (Some("b"), Some("q2")),
            },
            Case {
                name: "no time was left",
                entries: vec![broken("a", 1_000, "q1").number("left_ms", 0)],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
        ],
    );
}
