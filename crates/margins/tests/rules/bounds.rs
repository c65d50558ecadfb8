//! Bounds from a settings file and flags.

use margins::{Bounds, Verdict};

use crate::support::{analyze, ended, failed, gone, row};

struct Case {
    name: &'static str,
    file: &'static str,
    settings: &'static [&'static str],
    /// `drain-ms`, and the attempts of the routes `answers` and `reports`; or a part of the error.
    result: Result<[Option<f64>; 3], &'static str>,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing",
        file: "",
        settings: &[],
        result: Ok([None; 3]),
    },
    Case {
        name: "a file",
        file: "drain-ms = 2000\nattempts = 2\n[routes.reports]\nattempts = 3",
        settings: &[],
        result: Ok([Some(2_000.0), Some(2.0), Some(3.0)]),
    },
    Case {
        name: "flags go before the file, and leave the rest",
        file: "drain-ms = 2000\nattempts = 2\n[routes.reports]\ntimeout-ms = 1\nattempts = 3",
        settings: &["drain-ms=1500.5", "routes.answers.attempts = 4"],
        result: Ok([Some(1_500.5), Some(4.0), Some(3.0)]),
    },
    Case {
        name: "a name that is unknown",
        file: "",
        settings: &["drain-s=2"],
        result: Err("drain-s"),
    },
    Case {
        name: "a value that is no number",
        file: "drain-ms = \"soon\"",
        settings: &[],
        result: Err("drain-ms"),
    },
    Case {
        name: "no setting",
        file: "",
        settings: &["drain-ms"],
        result: Err("bound 'drain-ms'"),
    },
];

#[test]
fn bounds_of_files_and_flags() {
    for case in CASES {
        let settings: Vec<String> = case.settings.iter().map(ToString::to_string).collect();
        match (Bounds::parse(case.file, &settings), case.result) {
            (Ok(bounds), Ok(expected)) => {
                let found = [
                    bounds.drain_ms,
                    bounds.max_attempts("answers"),
                    bounds.max_attempts("reports"),
                ];
                assert_eq!(found, expected, "{}", case.name);
            }
            (Err(error), Err(part)) => assert!(error.contains(part), "{}: {error}", case.name),
            (found, expected) => panic!("{}: {found:?}, expected {expected:?}", case.name),
        }
    }
}

/// A rule that has cases and no bound has no verdict, whatever the figures.
#[test]
fn rules_without_a_bound_have_no_verdict() {
    let entries = [
        gone("a", 1_000, "r1"),
        failed("a", 9_000, "q1", "r2"),
        ended("a", 9_000, "q1").number("attempts", 2),
    ];
    let report = analyze("", &entries);
    for row in &report.rows {
        assert!(!matches!(row.verdict, Verdict::Kept | Verdict::Broken), "{row:?}");
        assert_eq!(row.share, None, "{row:?}");
    }
    let drain = row(&report, "DRAIN", "all nodes");
    assert_eq!((drain.verdict, drain.worst), (Verdict::NoBound, Some(8_000.0)));
    let repeats = row(&report, "BUDGET", "repeats");
    assert_eq!((repeats.verdict, repeats.cases), (Verdict::NoBound, 1));
}

/// The file that is shown to operators is complete.
#[test]
fn sample_has_all_bounds() {
    let sample = include_str!("../../../../samples/bounds.toml");
    let bounds = Bounds::parse(sample, &[]).expect("bounds");
    let debug = format!("{bounds:?}");
    assert!(!debug.contains("None"), "{debug}");
}
