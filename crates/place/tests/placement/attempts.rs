//! Whether a request may be sent to another replica.

use base::Millis;
use place::{Attempts, Denial, DispatchError};

/// A resumable request at its first replica.
const FIRST: Attempts = Attempts {
    is_idempotent: true,
    dispatches: 1,
    unconnected: 0,
    declines: 0,
    possible_runs: 0,
    in_flight: 1,
    max_runs: 2,
    time_left: Millis(2_000),
};

struct Case {
    name: &'static str,
    attempts: Attempts,
    /// After the last replica's response was lost, which counts as a run.
    after_loss: Option<Denial>,
    /// While the last replica is silent.
    during_silence: Option<Denial>,
}

const CASES: [Case; 12] = [
    Case {
        name: "first of two replicas",
        attempts: FIRST,
        after_loss: None,
        during_silence: None,
    },
    Case {
        name: "not idempotent",
        attempts: Attempts {
            is_idempotent: false,
            ..FIRST
        },
        after_loss: Some(Denial::MayHaveRun),
        during_silence: Some(Denial::MayHaveRun),
    },
    Case {
        name: "second of two replicas, the first may have run it",
        attempts: Attempts {
            dispatches: 2,
            possible_runs: 1,
            ..FIRST
        },
        after_loss: Some(Denial::Runs),
        during_silence: Some(Denial::Runs),
    },
    Case {
        name: "second of two replicas, the first refused",
        attempts: Attempts {
            dispatches: 2,
            ..FIRST
        },
        after_loss: None,
        during_silence: None,
    },
    Case {
        name: "two replicas have it",
        attempts: Attempts {
            dispatches: 2,
            in_flight: 2,
            ..FIRST
        },
        after_loss: Some(Denial::Runs),
        during_silence: Some(Denial::Runs),
    },
    Case {
        name: "single run allowed",
        attempts: Attempts { max_runs: 1, ..FIRST },
        after_loss: Some(Denial::Runs),
        during_silence: Some(Denial::Runs),
    },
    Case {
        name: "many replicas refused",
        attempts: Attempts {
            dispatches: 4,
            ..FIRST
        },
        after_loss: Some(Denial::Dispatches),
        during_silence: Some(Denial::Dispatches),
    },
    Case {
        name: "many replicas could not be connected to",
        attempts: Attempts {
            dispatches: 64,
            unconnected: 63,
            ..FIRST
        },
        after_loss: None,
        during_silence: None,
    },
    Case {
        name: "many replicas refused, others could not be connected to",
        attempts: Attempts {
            dispatches: 24,
            unconnected: 20,
            ..FIRST
        },
        after_loss: Some(Denial::Dispatches),
        during_silence: Some(Denial::Dispatches),
    },
    Case {
        name: "too many replicas could not be connected to",
        attempts: Attempts {
            dispatches: 65,
            unconnected: 64,
            ..FIRST
        },
        after_loss: Some(Denial::Unconnected),
        during_silence: Some(Denial::Unconnected),
    },
    Case {
        name: "many nodes declined to send it on",
        attempts: Attempts {
            declines: 12,
            ..FIRST
        },
        after_loss: Some(Denial::Declines),
        during_silence: Some(Denial::Declines),
    },
    Case {
        name: "deadline near",
        attempts: Attempts {
            time_left: Millis(10),
            ..FIRST
        },
        after_loss: Some(Denial::Deadline),
        during_silence: Some(Denial::Deadline),
    },
];

#[test]
fn denials() {
    for case in &CASES {
        let counted = Attempts {
            possible_runs: case.attempts.possible_runs + 1,
            in_flight: case.attempts.in_flight - 1,
            ..case.attempts
        };
        let assessment = DispatchError::Lost.assess(case.attempts.is_idempotent);
        assert_eq!(counted.denial_after(assessment), case.after_loss, "{}", case.name);
        assert_eq!(
            case.attempts.denial_during_silence(),
            case.during_silence,
            "{}",
            case.name
        );
    }
}
