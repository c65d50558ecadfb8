//! Requests that arrive at a node that is shutting down.

use base::Millis;
use place::shutdown::{self, Shutdown};

struct Case {
    name: &'static str,
    now: u64,
    requested: u64,
    /// Start and deadline of the shutdown; `None` if the node keeps running.
    shutdown: Option<(u64, u64)>,
    /// Deadline of the answer; `None` if the request is refused.
    expected: Option<u64>,
}

const CASES: [Case; 8] = [
    Case {
        name: "no shutdown",
        now: 1_000,
        requested: 9_000,
        shutdown: None,
        expected: Some(9_000),
    },
    Case {
        name: "enough time",
        now: 1_000,
        requested: 4_000,
        shutdown: Some((1_000, 6_000)),
        expected: Some(4_000),
    },
    Case {
        name: "short timeout that ends before the shutdown",
        now: 5_500,
        requested: 5_900,
        shutdown: Some((1_000, 6_000)),
        expected: Some(5_900),
    },
    Case {
        name: "long timeout during the discovery time, deadline is capped",
        now: 3_400,
        requested: 9_000,
        shutdown: Some((1_000, 6_000)),
        expected: Some(6_000),
    },
    Case {
        name: "long timeout after the discovery time",
        now: 3_600,
        requested: 9_000,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "long timeout, too little time",
        now: 4_100,
        requested: 9_000,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "short timeout, too little time",
        now: 5_700,
        requested: 6_100,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "after the shutdown deadline",
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
