//! Requests that arrive at a node that is about to end.

use base::Millis;
use place::last::{self, Leave};

struct Case {
    name: &'static str,
    now: u64,
    due: u64,
    /// When the node was told to end, and its end.
    leave: Option<(u64, u64)>,
    /// When the answer is due; none if the request is refused.
    expected: Option<u64>,
}

const CASES: [Case; 8] = [
    Case {
        name: "a node that stays",
        now: 1_000,
        due: 9_000,
        leave: None,
        expected: Some(9_000),
    },
    Case {
        name: "time enough",
        now: 1_000,
        due: 4_000,
        leave: Some((1_000, 6_000)),
        expected: Some(4_000),
    },
    Case {
        name: "all of a short patience is left",
        now: 5_500,
        due: 5_900,
        leave: Some((1_000, 6_000)),
        expected: Some(5_900),
    },
    Case {
        name: "long patience, answered before the end, while callers learn",
        now: 3_400,
        due: 9_000,
        leave: Some((1_000, 6_000)),
        expected: Some(6_000),
    },
    Case {
        name: "long patience, of a caller that has not learned",
        now: 3_600,
        due: 9_000,
        leave: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "long patience, too little time",
        now: 4_100,
        due: 9_000,
        leave: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "short patience, too little time",
        now: 5_700,
        due: 6_100,
        leave: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "after the end",
        now: 6_000,
        due: 6_000,
        leave: Some((1_000, 6_000)),
        expected: None,
    },
];

#[test]
fn what_a_leaving_node_takes() {
    for case in CASES {
        let leave = case.leave.map(|(since, end)| Leave {
            since: Millis(since),
            end: Millis(end),
        });
        let due = last::due(Millis(case.now), Millis(case.due), leave);
        assert_eq!(due, case.expected.map(Millis), "{}", case.name);
    }
}
