//! Requests that arrive at a node that is shutting down.

use std::sync::Arc;

use base::Millis;
use place::shutdown::{self, Durations, Limit, Shutdown};

struct Case {
    name: &'static str,
    now: u64,
    requested: u64,
    /// Longest time of recent answers.
    longest: Option<u64>,
    /// Start and deadline of the shutdown; `None` if the node keeps running.
    shutdown: Option<(u64, u64)>,
    /// Deadline of the answer; `None` if the request is refused.
    expected: Option<u64>,
}

const CASES: [Case; 11] = [
    Case {
        name: "no shutdown",
        now: 1_000,
        requested: 9_000,
        longest: None,
        shutdown: None,
        expected: Some(9_000),
    },
    Case {
        name: "enough time",
        now: 1_000,
        requested: 4_000,
        longest: None,
        shutdown: Some((1_000, 6_000)),
        expected: Some(4_000),
    },
    Case {
        name: "short timeout that ends before the shutdown",
        now: 5_500,
        requested: 5_900,
        longest: None,
        shutdown: Some((1_000, 6_000)),
        expected: Some(5_900),
    },
    Case {
        name: "long timeout during the discovery time, deadline is capped",
        now: 3_400,
        requested: 9_000,
        longest: None,
        shutdown: Some((1_000, 6_000)),
        expected: Some(6_000),
    },
    Case {
        name: "long timeout after the discovery time",
        now: 3_600,
        requested: 9_000,
        longest: None,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "long timeout, too little time",
        now: 4_100,
        requested: 9_000,
        longest: None,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "short timeout, too little time",
        now: 5_700,
        requested: 6_100,
        longest: None,
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "answers take longer than the time left, during the discovery time",
        now: 3_400,
        requested: 9_000,
        longest: Some(2_200),
        shutdown: Some((1_000, 6_000)),
        expected: None,
    },
    Case {
        name: "answers take long, and end in time",
        now: 3_000,
        requested: 9_000,
        longest: Some(2_200),
        shutdown: Some((1_000, 6_000)),
        expected: Some(6_000),
    },
    Case {
        name: "answers may take long, and the request has a short timeout",
        now: 3_400,
        requested: 4_000,
        longest: Some(9_000),
        shutdown: Some((1_000, 6_000)),
        expected: Some(4_000),
    },
    Case {
        name: "after the shutdown deadline",
        now: 6_000,
        requested: 6_000,
        longest: None,
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
        let deadline = shutdown::answer_deadline(
            Millis(case.now),
            Millis(case.requested),
            case.longest.map(Millis),
            shutdown,
        );
        assert_eq!(deadline, case.expected.map(Millis), "{}", case.name);
    }
}

/// A time counts for one to two minutes, and tells nothing of other kinds.
#[test]
fn longest_time_is_kept_for_ever() {
    let (stream, plain): (Arc<str>, Arc<str>) = (Arc::from("stream"), Arc::from("plain"));
    let mut durations = Durations::new();
    assert_eq!(durations.longest(Millis(0), &stream), None);
    durations.record(Millis(1_000), &stream, Millis(2_700));
    durations.record(Millis(2_000), &stream, Millis(900));
    durations.record(Millis(2_000), &plain, Millis(15));
    let longest = |durations: &Durations, at| durations.longest(Millis(at), "stream").map(|it| it.0);
    assert_eq!(longest(&durations, 3_000), Some(2_700));
    assert_eq!(durations.longest(Millis(3_000), &plain), Some(Millis(15)));
    durations.record(Millis(62_000), &stream, Millis(400));
    assert_eq!(longest(&durations, 63_000), Some(2_700));
    durations.record(Millis(123_000), &stream, Millis(300));
    assert_eq!(longest(&durations, 124_000), Some(400));
    assert_eq!(longest(&durations, 300_000), None);
    for number in 0..5_000 {
        durations.record(Millis(300_000), &Arc::from(format!("kind-{number}")), Millis(1));
    }
    assert_eq!(durations.longest(Millis(300_000), &plain), None);
}

struct Look {
    at: u64,
    suspended: Option<u64>,
    left: u64,
}

/// A process that runs looks at the clock each 20 ms.
#[test]
fn node_ends_at_once_after_a_suspension() {
    let looks = [
        Look {
            at: 1_020,
            suspended: None,
            left: 6_980,
        },
        Look {
            at: 5_000,
            suspended: Some(3_980),
            left: 3_000,
        },
        Look {
            at: 5_020,
            suspended: None,
            left: 2_980,
        },
        Look {
            at: 7_900,
            suspended: Some(2_880),
            left: 200,
        },
        Look {
            at: 7_920,
            suspended: None,
            left: 180,
        },
        Look {
            at: 8_100,
            suspended: None,
            left: 0,
        },
        Look {
            at: 9_000,
            suspended: Some(900),
            left: 0,
        },
    ];
    let mut limit = Limit::new(Millis(1_000), Millis(8_000));
    for look in looks {
        assert_eq!(
            limit.observe(Millis(look.at)),
            look.suspended.map(Millis),
            "{}",
            look.at
        );
        assert_eq!(limit.left(Millis(look.at)), Millis(look.left), "{}", look.at);
    }
}
