//! Age of the view.

use margins::Verdict;

use crate::support::{Case, check, ended};

#[test]
fn age_of_the_view_at_a_dispatch() {
    check(
        "VIEW",
        "",
        &[
            Case {
                name: "just inside the bound",
                entries: vec![
                    ended("a", 1_000, "q1").number("view_age_ms", 1_500),
                    ended("b", 1_000, "q2").number("view_age_ms", 40),
                ],
                verdict: Verdict::Kept,
                worst: Some(1_500.0),
                cases: 2,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "just outside the bound",
                entries: vec![ended("a", 1_000, "q1").number("view_age_ms", 1_501)],
                verdict: Verdict::Broken,
                worst: Some(1_501.0),
                cases: 1,
                place: (Some("a"), Some("q1")),
            },
            Case {
                name: "a view that was never confirmed, and a request that was sent nowhere",
                entries: vec![
                    ended("a", 1_000, "q1").number("view_age_ms", -1),
                    ended("a", 1_000, "q2")
                        .number("view_age_ms", 9_000)
                        .number("attempts", 0),
                ],
                verdict: Verdict::NoCase,
                worst: None,
                cases: 0,
                place: (None, None),
            },
        ],
    );
}
