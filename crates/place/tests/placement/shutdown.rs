//! Requests that arrive at a node that is about to end.

use base::Millis;
use place::shutdown::{self, Shutdown};

struct Case {
    name: &'static str,
    now: u64,
    requested: u64,
    /// When the node was told to end, and its end.
    shutdown: Option<(u64, u64)>,
    /// When the answer is due; none if the request is refused.
    expected: Option<u64>,
}

const CASES: [Case; 8] = [
    Case {
        name: "a node that stays",
        now: 1_000,
        requested: 9_000,
        shutdown: None,
        expected: Some(9_000),
    },
    Case {
        name: "time enough",
        now: 1_000,
        requested: 4_000,
        shutdown: Some((1_000, 6_000)),
        expected: Some(4_000),
    },
    Case {
        name: "all of a short patience is left",
        now: 5_500,
        requested: 5_900,
        shutdown: Some((1_000, 6_000)),
        expected: Some(5_900),
    },
    Case {
        name: "long patience, answered before the end, while callers learn",
        now: 3_400,
        requested: 9_000,
        shutdown: Some((1_000, 6_000)),
        expected: Some(6_000),
    },
    Case {
        name: "long patience, of a caller that has not learned",
        now: 3_600,
        requested: 9_000,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "long patience, too little time",
        now: 4_100,
        requested: 9_000,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "short patience, too little time",
        now: 5_700,
        requested: 6_100,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "after the end",
        now: 6_000,
        requested: 6_000,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
];

#[test]
fn requests_accepted_during_shutdown() {
    for case in CASES {
        let shutdown = case.shutdown.map(|(started, deadline)| Shutdown {
            started: Millis(started),
            deadline: Millis(deadline),
        });
        let deadline = shutdown::answer_deadline(Millis(case.now), Millis(case.requested), shutdown);
        assert_eq!(deadline, case.expected.map(Millis), "{}", case.name);
    }
}
