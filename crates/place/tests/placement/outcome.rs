//! What follows from the end of a dispatch, for requests that are idempotent and those that are not.

use place::{Event, Verdict, is_promise};

#[test]
fn fates() {
    struct Case {
        event: Event,
        is_idempotent: bool,
        verdict: Verdict,
        may_repeat: bool,
    }
    let failed = |status| Event::Failed { status };
    let cases = [
        (Event::NotSent, true, Verdict::NotRun, true),
        (Event::NotSent, false, Verdict::NotRun, true),
        (Event::NotRun, true, Verdict::NotRun, true),
        (Event::NotRun, false, Verdict::NotRun, true),
        (Event::Lost, true, Verdict::Unknown, true),
        (Event::Lost, false, Verdict::Unknown, false),
        (failed(500), true, Verdict::Failed, true),
        (failed(500), false, Verdict::Failed, false),
        (failed(504), false, Verdict::Failed, false),
        (failed(400), true, Verdict::Failed, false),
        (failed(503), true, Verdict::Unknown, true),
        (failed(503), false, Verdict::Unknown, false),
        (failed(429), false, Verdict::Unknown, false),
        (failed(408), false, Verdict::Unknown, false),
    ];
    for (event, is_idempotent, verdict, may_repeat) in cases {
        let case = Case {
            event,
            is_idempotent,
            verdict,
            may_repeat,
        };
        let fate = case.event.fate(case.is_idempotent);
        let shown = (case.event, case.is_idempotent);
        assert_eq!(fate.verdict, case.verdict, "{shown:?}");
        assert_eq!(fate.may_repeat, case.may_repeat, "{shown:?}");
    }
}

#[test]
fn promises() {
    let promises: Vec<u16> = (400..600).filter(|status| is_promise(*status)).collect();
    assert_eq!(promises, [408, 421, 429, 503]);
}
