//! Parsing of a node's metrics.

use ctl::scrape::Samples;

const METRICS: &str = "\
# TYPE bilberrylatch_nodes gauge
bilberrylatch_nodes 3
bilberrylatch_view_age_ms +Inf

bilberrylatch_refusals_total{reason=\"over_limit\"} 7
bilberrylatch_refusals_total{reason=\"no room\"} 2
bilberrylatch_first_event_ms_bucket{kind=\"stream\",le=\"100\"} 60
bilberrylatch_first_event_ms_bucket{kind=\"stream\",le=\"250\"} 94
bilberrylatch_first_event_ms_bucket{kind=\"stream\",le=\"+Inf\"} 100
broken line without a value
";

#[test]
fn parses_samples_and_skips_other_lines() {
    let samples = Samples::parse(METRICS);
    assert_eq!(samples.get("bilberrylatch_nodes"), Some(3.0));
    assert_eq!(samples.get("bilberrylatch_view_age_ms"), Some(f64::INFINITY));
    assert_eq!(samples.get("bilberrylatch_refusals_total"), None);
    let reasons: Vec<_> = samples
        .sum_by_label("bilberrylatch_refusals_total", "reason")
        .into_iter()
        .collect();
    assert_eq!(reasons, [("over_limit", 7.0), ("no room", 2.0)]);
    assert!(
        samples
            .sum_by_label("bilberrylatch_refusals", "reason")
            .is_empty()
    );
}

#[test]
fn quantile_is_the_upper_bound_of_its_bucket() {
    struct Case {
        fraction: f64,
        bound: f64,
    }
    let cases = [
        Case {
            fraction: 0.5,
            bound: 100.0,
        },
        Case {
            fraction: 0.9,
            bound: 250.0,
        },
        Case {
            fraction: 0.95,
            bound: f64::INFINITY,
        },
    ];
    let samples = Samples::parse(METRICS);
    for case in cases {
        let bound = samples.quantile("bilberrylatch_first_event_ms", case.fraction);
        assert_eq!(bound, Some(case.bound), "quantile {}", case.fraction);
    }
    assert_eq!(samples.quantile("bilberrylatch_request_ms", 0.5), None);
}
