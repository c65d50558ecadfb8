//! Reports that several nodes write: each counts once, whoever wrote it.

use std::sync::Arc;

use base::{Incarnation, Millis};
use entry::counts::Counts;
use entry::publish::{COLLECT_DELAY, Collector, Comparison, Report, Summary};
use fleet::capacity::Load;

const MAX_AGE: Millis = Millis(15_000);

fn report(number: u64, window: u64, count: u64) -> Arc<Report> {
    let mut counts = Counts::default();
    for _ in 0..count {
        counts.add(window, &Arc::from("tills"));
    }
    let comparison = Comparison {
        order: 4,
        old_in_flight: 2,
        ..Comparison::default()
    };
    let busy = Load {
        own: 0.25,
        shared: 1.5,
        slots: 0.5,
    };
    Arc::new(Report {
        number,
        counts,
        busy: [(Arc::from("ledger"), busy)].into_iter().collect(),
        rollouts: [(Arc::from("ledger"), comparison)].into_iter().collect(),
    })
}

#[test]
fn summary_survives_encoding() {
    let mut summary = Summary::default();
    summary.insert(Incarnation(1), report(3, 70, 5));
    summary.insert(Incarnation(2), report(1, 71, 2));
    summary.insert(Incarnation(3), Arc::default());
    let decoded = Summary::decode(&summary.encode().unwrap()).unwrap();
    assert_eq!(decoded, summary);
    assert!(Summary::decode(b"not a summary").is_err());
}

#[test]
fn later_report_replaces_an_earlier_one() {
    struct Case {
        numbers: &'static [u64],
        expected: u64,
    }
    let cases = [
        Case {
            numbers: &[1, 2, 3],
            expected: 3,
        },
        Case {
            numbers: &[3, 1, 2],
            expected: 3,
        },
        Case {
            numbers: &[2, 2],
            expected: 2,
        },
    ];
    for case in &cases {
        let mut summary = Summary::default();
        for number in case.numbers {
            summary.insert(Incarnation(1), report(*number, 70, *number));
        }
        assert_eq!(summary.reports.len(), 1);
        assert_eq!(summary.reports[0].number, case.expected, "{:?}", case.numbers);
    }
}

#[test]
fn reports_are_written_together_and_once() {
    let mut collector = Collector::default();
    assert_eq!(collector.due_at(), None);
    collector.insert(Millis(1_000), Incarnation(1), report(1, 70, 1));
    collector.insert(Millis(1_200), Incarnation(2), report(1, 70, 2));
    assert_eq!(collector.due_at(), Some(Millis(1_000) + COLLECT_DELAY));
    assert_eq!(collector.take(Millis(1_400), MAX_AGE).reports.len(), 2);
    assert_eq!(collector.due_at(), None);
    // A copy that arrives again is not written again.
    collector.insert(Millis(1_500), Incarnation(1), report(1, 70, 1));
    assert_eq!(collector.due_at(), None);
    // A later report is written with all that are still needed.
    collector.insert(Millis(2_500), Incarnation(1), report(2, 70, 4));
    assert_eq!(collector.take(Millis(2_900), MAX_AGE).reports.len(), 2);
}

#[test]
fn failed_write_is_repeated_and_old_reports_are_dropped() {
    let mut collector = Collector::default();
    collector.insert(Millis(1_000), Incarnation(1), report(1, 70, 1));
    collector.take(Millis(1_400), MAX_AGE);
    collector.restore(Millis(1_500));
    assert_eq!(collector.due_at(), Some(Millis(1_500) + COLLECT_DELAY));
    assert_eq!(collector.take(Millis(1_900), MAX_AGE).reports.len(), 1);
    collector.insert(Millis(17_000), Incarnation(2), report(1, 73, 1));
    let reports = collector.take(Millis(17_400), MAX_AGE).reports;
    assert_eq!(reports.keys().copied().collect::<Vec<_>>(), [Incarnation(2)]);
}
