//! Durations saturate at zero, and `Retry-After` seconds are rounded up.

use base::Millis;

struct Case {
    earlier: u64,
    later: u64,
    span: u64,
    secs_ceil: u64,
}

const CASES: [Case; 4] = [
    Case {
        earlier: 0,
        later: 0,
        span: 0,
        secs_ceil: 0,
    },
    Case {
        earlier: 5,
        later: 6,
        span: 1,
        secs_ceil: 1,
    },
    Case {
        earlier: 9,
        later: 2,
        span: 0,
        secs_ceil: 0,
    },
    Case {
        earlier: 1_000,
        later: 3_001,
        span: 2_001,
        secs_ceil: 3,
    },
];

#[test]
fn spans_saturate_and_seconds_round_up() {
    for case in CASES {
        let span = Millis(case.later).since(Millis(case.earlier));
        assert_eq!(span, Millis(case.span));
        assert_eq!(span.as_secs_ceil(), case.secs_ceil);
    }
}
