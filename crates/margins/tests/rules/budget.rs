//! BUDGET.

use margins::Verdict;

use crate::support::{Case, Entry, changed, check, ended, ends, failed};

const NOWHERE: (Option<&str>, Option<&str>) = (None, None);

fn paused(node: &'static str, time: i64, replica: &str, asked_ms: i64) -> Entry {
    Entry::new(node, time, "replica wants no requests")
        .text("replica", replica)
        .number("asked_ms", asked_ms)
        .number("left_out_ms", asked_ms.min(60_000))
}

/// A request that arrives at `time`, fails at replica `r2` at once and goes on at replica `r1`.
fn repeated(node: &'static str, time: i64, id: &str) -> [Entry; 2] {
    [
        failed(node, time, id, "r2"),
        ended(node, time, id).number("attempts", 2),
    ]
}

fn repeats(times: impl IntoIterator<Item = i64>) -> Vec<Entry> {
    let times = times.into_iter();
    times
        .enumerate()
        .flat_map(|(index, time)| repeated(["a", "b"][index % 2], time, &format!("p{time}")))
        .collect()
}

#[test]
fn replicas_that_a_request_runs_on() {
    check(
        "BUDGET",
        "may have run",
        &[
            Case {
                name: "just inside the bound",
                entries: repeated("a", 1_000, "q1").to_vec(),
                verdict: Verdict::Kept,
                worst: Some(2.0),
                cases: 1,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "just outside the bound",
                entries: vec![
                    failed("a", 1_000, "q1", "r2"),
                    failed("a", 1_100, "q1", "r3"),
                    ended("a", 1_200, "q1").number("attempts", 3),
                ],
                verdict: Verdict::Broken,
                worst: Some(3.0),
                cases: 1,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "a route that allows more",
                entries: vec![
                    ended("a", 1_200, "q1")
                        .number("attempts", 3)
                        .text("route", "reports"),
                ],
                verdict: Verdict::Kept,
                worst: Some(3.0),
                cases: 1,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "a replica that did not run it does not count",
                entries: vec![
                    failed("a", 1_000, "q1", "r2")
                        .text("cause", "replica refused with 503 Service Unavailable"),
                    failed("a", 1_100, "q1", "r3"),
                    ended("a", 1_200, "q1").number("attempts", 3),
                ],
                verdict: Verdict::Kept,
                worst: Some(2.0),
                cases: 1,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "a request that was sent nowhere is no case",
                entries: vec![ended("a", 1_200, "q1").number("attempts", 0).text("replica", "")],
                verdict: Verdict::NoCase,
                worst: None,
                cases: 0,
                place: NOWHERE,
            },
        ],
    );
}

#[test]
fn repeats_of_an_endpoint() {
    let one_window = |count: i64, plain: i64| {
        let mut entries = ends("a", (0..plain).map(|index| 10_000 + index));
        entries.extend(repeats((0..count).map(|index| 10_100 + index)));
        entries
    };
    check(
        "BUDGET",
        "repeats of an endpoint",
        &[
            Case {
                // 4 plain requests and 8 that are repeated: 0.5 x 12 + 2.
                name: "just inside the bound, over two nodes",
                entries: one_window(8, 4),
                verdict: Verdict::Kept,
                worst: Some(8.0),
                cases: 8,
                place: (Some("b"), Some("p10107")),
            },
            Case {
                // 0.5 x 12 + 2 for 9 repeats.
                name: "just outside the bound",
                entries: one_window(9, 3),
                verdict: Verdict::Broken,
                worst: Some(9.0),
                cases: 9,
                place: (Some("a"), Some("p10108")),
            },
            Case {
                // Requests in the window before: 0.5 x 20 + 2 for 6 repeats.
                name: "the requests of the window before, if there were more",
                entries: [ends("a", 9_050..9_070), repeats(10_055..10_061)].concat(),
                verdict: Verdict::Kept,
                worst: Some(6.0),
                cases: 6,
                place: (Some("b"), Some("p10060")),
            },
            Case {
                // A window that begins with the repeats still holds them as the requests of earlier windows do not count
                // any more: 0.5 x 6 + 2 for 6 repeats.
                name: "the window that has the fewest requests",
                entries: [
                    ends("a", 9_000..9_006),
                    repeats(10_990..10_996),
                    ends("a", [20_000]),
                ]
                .concat(),
                verdict: Verdict::Broken,
                worst: Some(6.0),
                cases: 6,
                place: (Some("b"), Some("p10995")),
            },
            Case {
                // Never more than 4 in a window: 0.5 x 4 + 2.
                name: "repeats a whole window apart do not count together",
                entries: repeats([1_000, 1_001, 1_002, 1_003, 2_000, 2_001, 2_002, 2_003]),
                verdict: Verdict::Kept,
                worst: Some(4.0),
                cases: 8,
                place: (Some("b"), Some("p1003")),
            },
            Case {
                name: "no repeat is no case",
                entries: ends("a", 0..10),
                verdict: Verdict::NoCase,
                worst: None,
                cases: 0,
                place: NOWHERE,
            },
        ],
    );
}

#[test]
fn requests_to_a_replica_that_wants_none() {
    let with = |times: &[i64]| {
        let mut entries = vec![paused("a", 1_000, "r1", 10_000)];
        entries.extend(ends("a", times.iter().copied()));
        entries
    };
    check(
        "BUDGET",
        "wanted none",
        &[
            Case {
                name: "just inside the bound",
                entries: with(&[1_500, 10_999]),
                verdict: Verdict::Kept,
                worst: Some(2.0),
                cases: 1,
                place: (Some("a"), Some("q10999")),
            },
            Case {
                name: "just outside the bound",
                entries: with(&[1_500, 5_000, 10_999]),
                verdict: Verdict::Broken,
                worst: Some(3.0),
                cases: 1,
                place: (Some("a"), Some("q10999")),
            },
            Case {
                name: "before half a second has passed, and after the end of the time",
                entries: with(&[1_001, 1_499, 11_000, 11_001]),
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
            Case {
                name: "other nodes may send requests",
                entries: [
                    vec![paused("a", 1_000, "r1", 10_000)],
                    ends("b", [2_000, 3_000, 4_000]),
                ]
                .concat(),
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
            Case {
                name: "a replica that started anew has asked for nothing",
                entries: [
                    vec![
                        paused("a", 1_000, "r1", 10_000),
                        changed("a", 1_900, "r1", "ready"),
                    ],
                    ends("a", [2_000, 3_000, 4_000]),
                ]
                .concat(),
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
        ],
    );
}
