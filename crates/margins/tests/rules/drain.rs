//! DRAIN.

use margins::Verdict;

use crate::support::{Case, Entry, changed, check, ended, failed, gone, started};

const NOWHERE: (Option<&str>, Option<&str>) = (None, None);

fn leaving(node: &'static str, time: i64, replica: &str) -> Entry {
    Entry::new(node, time, "replica says that it is leaving").text("replica", replica)
}

/// A request that is sent to replica `r1` at `sent`, and ends half a second later.
fn sent(node: &'static str, sent: i64, id: &str) -> Entry {
    ended(node, sent + 500, id).number("took_ms", 500)
}

#[test]
fn requests_after_the_first_node_knew() {
    check(
        "DRAIN",
        "all nodes",
        &[
            Case {
                name: "just inside the bound, sent by another node than the one that knew",
                entries: vec![changed("a", 1_000, "r1", "draining"), sent("b", 3_000, "q1")],
                verdict: Verdict::Kept,
                worst: Some(2_000.0),
                cases: 1,
                place: (Some("b"), Some("q1")),
            },
            Case {
                name: "just outside the bound",
                entries: vec![changed("a", 1_000, "r1", "draining"), sent("b", 3_001, "q1")],
                verdict: Verdict::Broken,
                worst: Some(2_001.0),
                cases: 1,
                place: (Some("b"), Some("q1")),
            },
            Case {
                name: "the first node counts, and a replica that is gone",
                entries: vec![
                    gone("a", 1_000, "r1"),
                    gone("b", 2_900, "r1"),
                    sent("b", 3_001, "q1"),
                ],
                verdict: Verdict::Broken,
                worst: Some(2_001.0),
                cases: 1,
                place: (Some("b"), Some("q1")),
            },
            Case {
                name: "a node that knows that it drains, and then that it is gone",
                entries: vec![
                    changed("a", 1_000, "r1", "draining"),
                    gone("a", 2_500, "r1"),
                    sent("b", 3_001, "q1"),
                ],
                verdict: Verdict::Broken,
                worst: Some(2_001.0),
                cases: 1,
                place: (Some("b"), Some("q1")),
            },
            Case {
                name: "the last of several requests, and that it ends later is no matter",
                entries: vec![
                    changed("a", 1_000, "r1", "draining"),
                    sent("a", 1_100, "q1"),
                    sent("a", 1_400, "q2"),
                    ended("a", 9_000, "q3").number("took_ms", 7_950),
                ],
                verdict: Verdict::Kept,
                worst: Some(400.0),
                cases: 1,
                place: (Some("a"), Some("q2")),
            },
            Case {
                name: "the time of sending includes the delay, but not for a replica that failed before",
                entries: vec![
                    gone("a", 1_000, "r1"),
                    gone("a", 1_000, "r2"),
                    failed("a", 3_100, "q1", "r2"),
                    ended("a", 3_500, "q1")
                        .number("took_ms", 1_700)
                        .number("attempts", 2)
                        .number("send_delay_ms", 60),
                ],
                verdict: Verdict::Broken,
                worst: Some(2_160.0),
                cases: 2,
                place: (Some("a"), Some("q1")),
            },
        ],
    );
}

#[test]
fn requests_that_are_no_matter() {
    check(
        "DRAIN",
        "all nodes",
        &[
            Case {
                name: "a request before it is no matter",
                entries: vec![sent("a", 900, "q1"), changed("a", 1_000, "r1", "draining")],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
            Case {
                name: "an address that another replica has taken over",
                entries: vec![
                    gone("a", 1_000, "r1"),
                    failed("a", 4_000, "q1", "r1")
                        .text("cause", "replica refused with 421 Misdirected Request"),
                    ended("a", 4_000, "q1")
                        .number("took_ms", 10)
                        .text("replica", "r1"),
                ],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
            Case {
                name: "no replica leaves",
                entries: vec![changed("a", 1_000, "r1", "ready"), sent("a", 3_001, "q1")],
                verdict: Verdict::NoCase,
                worst: None,
                cases: 0,
                place: NOWHERE,
            },
        ],
    );
}

#[test]
fn replicas_that_come_back() {
    check(
        "DRAIN",
        "all nodes",
        &[
            Case {
                name: "a replica that came back may get requests",
                entries: vec![
                    gone("a", 1_000, "r1"),
                    gone("b", 1_010, "r1"),
                    changed("a", 4_000, "r1", "ready"),
                    sent("a", 4_100, "q1"),
                ],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
            Case {
                name: "a node that is late with the same departure does not begin another",
                entries: vec![
                    gone("a", 1_000, "r1"),
                    changed("a", 1_500, "r1", "ready"),
                    gone("b", 1_600, "r1"),
                    sent("a", 4_100, "q1"),
                ],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
            Case {
                name: "a replica that leaves again",
                entries: vec![
                    gone("a", 1_000, "r1"),
                    changed("a", 1_500, "r1", "ready"),
                    gone("a", 2_000, "r1"),
                    sent("a", 4_001, "q1"),
                ],
                verdict: Verdict::Broken,
                worst: Some(2_001.0),
                cases: 2,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "a replica that was away for minutes and leaves again",
                entries: vec![
                    gone("a", 1_000, "r1"),
                    gone("b", 1_100, "r1"),
                    changed("b", 200_000, "r1", "ready"),
                    changed("a", 200_100, "r1", "ready"),
                    sent("a", 250_000, "q1"),
                    gone("b", 300_000, "r1"),
                    gone("a", 300_100, "r1"),
                    sent("a", 302_001, "q2"),
                ],
                verdict: Verdict::Broken,
                worst: Some(2_001.0),
                cases: 2,
                place: (Some("a"), Some("q2")),
            },
            Case {
                name: "a node that has just started and finds the replica ready does not end a departure",
                entries: vec![
                    gone("a", 1_000, "r1"),
                    started("c", 1_100),
                    changed("c", 1_200, "r1", "ready"),
                    sent("c", 3_001, "q1"),
                ],
                verdict: Verdict::Broken,
                worst: Some(2_001.0),
                cases: 1,
                place: (Some("c"), Some("q1")),
            },
        ],
    );
}

#[test]
fn requests_after_the_replica_said_so() {
    check(
        "DRAIN",
        "that node",
        &[
            Case {
                name: "just inside the bound",
                entries: vec![leaving("a", 1_000, "r1"), sent("a", 3_000, "q1")],
                verdict: Verdict::Kept,
                worst: Some(2_000.0),
                cases: 1,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "just outside the bound",
                entries: vec![leaving("a", 1_000, "r1"), sent("a", 3_001, "q1")],
                verdict: Verdict::Broken,
                worst: Some(2_001.0),
                cases: 1,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "other nodes do not know of it",
                entries: vec![leaving("a", 1_000, "r1"), sent("b", 3_001, "q1")],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
            Case {
                name: "a node that started anew does not know of it",
                entries: vec![
                    leaving("a", 1_000, "r1"),
                    started("a", 2_000),
                    sent("a", 3_001, "q1"),
                ],
                verdict: Verdict::Kept,
                worst: Some(0.0),
                cases: 1,
                place: NOWHERE,
            },
        ],
    );
}
