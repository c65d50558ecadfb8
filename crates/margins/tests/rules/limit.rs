//! LIMIT.

use margins::Verdict;

use crate::support::{Case, Entry, check, ended, ends};

const NOWHERE: (Option<&str>, Option<&str>) = (None, None);

/// Nodes write whole numbers as numbers and fractions as texts.
fn limited(node: &'static str, time: i64, per_s: &str) -> Entry {
    Entry::new(node, time, "rate limit of a replica changed")
        .text("replica", "r1")
        .text("endpoint", "engine")
        .text("per_s", per_s)
}

#[test]
fn requests_against_the_limit() {
    // 1.5 x 2.5 x 4 + 5 = 20 requests in 4 s.
    let with = |times: Vec<i64>| [vec![limited("a", 1_000, "2.5")], ends("a", times)].concat();
    check(
        "LIMIT",
        "",
        &[
            Case {
                name: "just inside the bound",
                entries: with((0..21).map(|index| 2_000 + index * 200).collect()),
                verdict: Verdict::Kept,
                worst: Some(20.0),
                cases: 21,
                place: (Some("a"), Some("q5800")),
            },
            Case {
                name: "just outside the bound",
                entries: with((0..20).map(|index| 2_000 + index * 200).chain([5_999]).collect()),
                verdict: Verdict::Broken,
                worst: Some(21.0),
                cases: 21,
                place: (Some("a"), Some("q5999")),
            },
            Case {
                name: "over two nodes, and known only at the end of the requests",
                entries: [
                    vec![limited("a", 1_000, "2.5")],
                    (0..11)
                        .map(|index| ended("a", 9_000 + index, &format!("x{index}")).number("took_ms", 6_000))
                        .collect(),
                    (0..10)
                        .map(|index| ended("b", 9_500 + index, &format!("y{index}")).number("took_ms", 3_000))
                        .collect(),
                ]
                .concat(),
                verdict: Verdict::Broken,
                worst: Some(21.0),
                cases: 21,
                place: (Some("b"), Some("y9")),
            },
            Case {
                name: "requests before the limit was named do not count",
                entries: [
                    ends("a", 900..1_000),
                    vec![limited("a", 1_000, "2.5")],
                    ends("a", [1_001]),
                ]
                .concat(),
                verdict: Verdict::Kept,
                worst: Some(1.0),
                cases: 1,
                place: (Some("a"), Some("q1001")),
            },
            Case {
                name: "the highest limit of the window counts",
                entries: [
                    vec![limited("a", 1_000, "2.5")],
                    ends("a", 2_000..2_020),
                    vec![limited("a", 3_000, "0")],
                    ends("a", [3_500]),
                ]
                .concat(),
                verdict: Verdict::Broken,
                worst: Some(21.0),
                cases: 21,
                place: (Some("a"), Some("q3500")),
            },
            Case {
                name: "a lower limit counts alone once it is a window old",
                entries: [
                    vec![limited("a", 1_000, "100"), limited("a", 3_000, "0")],
                    ends("a", (0..6).map(|index| 7_000 + index)),
                ]
                .concat(),
                verdict: Verdict::Broken,
                worst: Some(6.0),
                cases: 6,
                place: (Some("a"), Some("q7005")),
            },
            Case {
                name: "no limit any more",
                entries: [
                    vec![limited("a", 1_000, "0"), limited("b", 1_100, "-1")],
                    ends("a", 2_000..2_100),
                ]
                .concat(),
                verdict: Verdict::NoCase,
                worst: None,
                cases: 0,
                place: NOWHERE,
            },
        ],
    );
}

/// The line of the dispatch says when it was sent; without it, a second dispatch counts from the failure before it.
#[test]
fn time_of_a_dispatch_that_has_a_line() {
    let sent = Entry::new("a", 6_001, "sent to a replica with a rate limit")
        .text("id", "q1")
        .text("replica", "r1")
        .number("attempt", 1);
    let slow_body = ended("a", 6_100, "q1").number("took_ms", 5_000);
    let entries = |sent: Vec<Entry>| {
        let early = ends("b", 2_000..2_020);
        [
            vec![limited("a", 1_000, "2.5")],
            early,
            sent,
            vec![slow_body.clone()],
        ]
        .concat()
    };
    check(
        "LIMIT",
        "",
        &[
            Case {
                name: "without the line, as it arrived",
                entries: entries(vec![]),
                verdict: Verdict::Broken,
                worst: Some(21.0),
                cases: 21,
                place: (Some("b"), Some("q2019")),
            },
            Case {
                name: "with the line",
                entries: entries(vec![sent]),
                verdict: Verdict::Kept,
                worst: Some(20.0),
                cases: 21,
                place: (Some("b"), Some("q2019")),
            },
        ],
    );
}
