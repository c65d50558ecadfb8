//! QUOTA.

use margins::Verdict;

use crate::support::{Case, Entry, check, ended};

const NOWHERE: (Option<&str>, Option<&str>) = (None, None);

fn used(node: &'static str, time: i64, id: &str, tokens: i64) -> Entry {
    ended(node, time, id)
        .text("workspace", "tills")
        .number("tokens", tokens)
}

#[test]
fn tokens_of_a_workspace() {
    // (100 x 2 + 50) x 1.1 + 10 = 285 tokens in 2 s.
    check(
        "QUOTA",
        "",
        &[
            Case {
                name: "just inside the bound, over two nodes",
                entries: vec![used("a", 1_000, "q1", 200), used("b", 2_999, "q2", 85)],
                verdict: Verdict::Kept,
                worst: Some(285.0),
                cases: 2,
                place: (Some("b"), Some("q2")),
            },
            Case {
                name: "just outside the bound",
                entries: vec![used("a", 1_000, "q1", 200), used("b", 2_999, "q2", 86)],
                verdict: Verdict::Broken,
                worst: Some(286.0),
                cases: 2,
                place: (Some("b"), Some("q2")),
            },
            Case {
                name: "a window apart",
                entries: vec![used("a", 1_000, "q1", 200), used("b", 3_000, "q2", 86)],
                verdict: Verdict::Kept,
                worst: Some(200.0),
                cases: 2,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "by the times at which they arrived",
                entries: vec![
                    used("a", 1_000, "q1", 200),
                    used("b", 5_000, "q2", 86).number("took_ms", 2_001),
                ],
                verdict: Verdict::Broken,
                worst: Some(286.0),
                cases: 2,
                place: (Some("b"), Some("q2")),
            },
            Case {
                name: "a request that did not run costs nothing",
                entries: vec![
                    used("a", 1_000, "q1", 400)
                        .number("attempts", 0)
                        .text("replica", ""),
                ],
                verdict: Verdict::NoCase,
                worst: None,
                cases: 0,
                place: NOWHERE,
            },
            Case {
                name: "a workspace without a bound",
                entries: vec![used("a", 1_000, "q1", 400).text("workspace", "bursars")],
                verdict: Verdict::NoBound,
                worst: Some(400.0),
                cases: 1,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "logs that do not say how many tokens a request cost",
                entries: vec![used("a", 1_000, "q1", 400).without("tokens")],
                verdict: Verdict::NoData,
                worst: None,
                cases: 0,
                place: NOWHERE,
            },
        ],
    );
}
