//! Values that readers see with a lag.

use base::Millis;
use fake::lagged::Lagged;

struct Case {
    lag: u64,
    changed_at: u64,
    read_at: u64,
    is_changed: bool,
}

const CASES: [Case; 6] = [
    Case {
        lag: 0,
        changed_at: 0,
        read_at: 0,
        is_changed: true,
    },
    Case {
        lag: 100_000,
        changed_at: 0,
        read_at: 0,
        is_changed: false,
    },
    Case {
        lag: 100_000,
        changed_at: 0,
        read_at: 99_999,
        is_changed: false,
    },
    Case {
        lag: 100_000,
        changed_at: 0,
        read_at: 100_000,
        is_changed: true,
    },
    Case {
        lag: 5,
        changed_at: 3,
        read_at: 7,
        is_changed: false,
    },
    Case {
        lag: 5,
        changed_at: 3,
        read_at: 8,
        is_changed: true,
    },
];

#[test]
fn a_change_is_visible_after_the_lag() {
    for case in &CASES {
        let mut value = Lagged::new(Millis(case.lag), false);
        value.push(Millis(case.changed_at), true);
        assert_eq!(
            *value.visible_at(Millis(case.read_at)),
            case.is_changed,
            "lag {}, changed at {}, read at {}",
            case.lag,
            case.changed_at,
            case.read_at
        );
    }
}
