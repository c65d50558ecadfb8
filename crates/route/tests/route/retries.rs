//! Each cause of a retry, with events that lead to it.

use base::Millis;
use route::event::{Event, Finish};
use route::failure::{Failure, Kind};
use route::retry::Cause;

use crate::fixture::{Fixture, dispatch, settings};

/// Longer than the backoff, shorter than the deadline.
const AFTER_BACKOFF: Millis = Millis(200);

struct Case {
    cause: Cause,
    idempotent: bool,
    sent: bool,
    first_token: bool,
    finish: Finish,
    delivered: u32,
}

const CASES: [Case; 5] = [
    Case {
        cause: Cause::ReplicaLost,
        idempotent: false,
        sent: false,
        first_token: false,
        finish: Finish::Failed(Failure::new(Kind::Refused, false)),
        delivered: 0,
    },
    Case {
        cause: Cause::Rejected,
        idempotent: false,
        sent: true,
        first_token: false,
        finish: Finish::Failed(Failure::new(Kind::Rejected, false)),
        delivered: 0,
    },
    Case {
        cause: Cause::NotRun,
        idempotent: false,
        sent: false,
        first_token: false,
        finish: Finish::Failed(Failure::new(Kind::Connect, false)),
        delivered: 0,
    },
    Case {
        cause: Cause::Idempotent,
        idempotent: true,
        sent: true,
        first_token: false,
        finish: Finish::Failed(Failure::new(Kind::ServerError, true)),
        delivered: 0,
    },
    Case {
        cause: Cause::Resume,
        idempotent: true,
        sent: true,
        first_token: true,
        finish: Finish::Interrupted { tokens: 7 },
        delivered: 7,
    },
];

#[test]
fn each_retry_has_its_cause_and_another_replica() {
    for case in CASES {
        let mut fixture = Fixture::new(settings(), 9, 2);
        let first = dispatch(&fixture.arrive(Millis(1), case.idempotent));
        if case.sent {
            fixture.step(Millis(2), Event::Sent { dispatch: first.id });
        }
        if case.first_token {
            fixture.step(Millis(3), Event::FirstToken { dispatch: first.id });
        }
        let mut actions = fixture.end(Millis(4), first, case.finish);
        actions.extend(fixture.step(AFTER_BACKOFF, Event::Tick));
        let second = dispatch(&actions);
        assert_eq!(second.cause, Some(case.cause));
        assert_eq!(second.delivered, case.delivered);
        assert_eq!(second.attempt, 2);
        assert_ne!(second.replica, first.replica);
    }
    for cause in Cause::ALL {
        assert!(
            CASES.iter().any(|case| case.cause == cause),
            "no case for {}",
            cause.as_str()
        );
    }
}
