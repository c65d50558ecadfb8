//! Usage windows that may have been reported with counts that are lost.

use quota::Horizon;

#[test]
fn window_is_reported_again_with_other_counts() {
    struct Case {
        name: &'static str,
        record: Horizon,
        era: u64,
        due: u64,
        before: u64,
    }
    let record = |era, before| Horizon { era, before };
    let cases = [
        Case {
            name: "written in this era",
            record: record(Some(2), 0),
            era: 2,
            due: 9,
            before: 0,
        },
        Case {
            name: "written in an earlier era",
            record: record(Some(1), 0),
            era: 2,
            due: 9,
            before: 9,
        },
        Case {
            name: "written in this era, after an earlier restore",
            record: record(Some(2), 7),
            era: 2,
            due: 9,
            before: 7,
        },
        Case {
            name: "restored twice",
            record: record(Some(2), 7),
            era: 3,
            due: 9,
            before: 9,
        },
        Case {
            name: "noticed earlier than by the writer",
            record: record(Some(2), 7),
            era: 3,
            due: 5,
            before: 7,
        },
        Case {
            name: "written by an earlier build",
            record: record(None, 0),
            era: 2,
            due: 9,
            before: 0,
        },
    ];
    for case in &cases {
        let horizon = case.record.read_in(case.era, case.due);
        assert_eq!(horizon, record(Some(case.era), case.before), "{}", case.name);
        assert!(!horizon.covers(case.before), "{}", case.name);
        assert!(
            case.before == 0 || horizon.covers(case.before - 1),
            "{}",
            case.name
        );
    }
}
