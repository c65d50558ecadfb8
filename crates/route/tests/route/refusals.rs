//! Each reason for a refusal, with events that lead to it.

use base::{Millis, Outcome};
use route::action::Action;
use route::event::Event;
use route::failure::Kind;
use route::refusal::Reason;
use route::{Arrival, CallKey};

use crate::fixture::{self, DEADLINE, Fixture, dispatch, failed, settings};

struct Case {
    reason: Reason,
    outcome: Outcome,
    trigger: fn() -> Vec<Action>,
}

const CASES: [Case; 13] = [
    Case {
        reason: Reason::NoEndpoint,
        outcome: Outcome::NotRun,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 9, 1);
            let endpoint = fixture.endpoint;
            fixture.step(Millis(1), Event::EndpointRemoved { endpoint });
            fixture.arrive(Millis(2), true)
        },
    },
    Case {
        reason: Reason::NoWorkspace,
        outcome: Outcome::NotRun,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 9, 1);
            let workspace = fixture.workspace;
            fixture.step(Millis(1), Event::WorkspaceRemoved { workspace });
            fixture.arrive(Millis(2), true)
        },
    },
    Case {
        reason: Reason::NoReplica,
        outcome: Outcome::NotRun,
        trigger: || Fixture::new(settings(), 9, 0).arrive(Millis(1), true),
    },
    Case {
        reason: Reason::Overloaded,
        outcome: Outcome::NotRun,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 9, 1);
            fixture.arrive(Millis(1), true);
            fixture.arrive(Millis(1), true);
            fixture.arrive(Millis(1), true)
        },
    },
    // The request could not be dispatched before its deadline and is refused on arrival.
    Case {
        reason: Reason::DeadlineUnmet,
        outcome: Outcome::NotRun,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 9, 1);
            fixture.arrive(Millis(1), true);
            fixture.arrive(DEADLINE - Millis(150), true)
        },
    },
    // The request times out in the queue and is refused while its caller still has time to send it elsewhere.
    Case {
        reason: Reason::DeadlineUnmet,
        outcome: Outcome::NotRun,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 9, 1);
            fixture.arrive(Millis(1), true);
            fixture.arrive(Millis(2), true);
            fixture.step(DEADLINE - Millis(100), Event::Tick)
        },
    },
    // The request is in flight: the node is told to abort the dispatch and reports whether a byte was sent.
    Case {
        reason: Reason::DeadlineUnmet,
        outcome: Outcome::Unknown,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 9, 1);
            let sent = dispatch(&fixture.arrive(Millis(1), false));
            let cancel = fixture.step(DEADLINE, Event::Tick);
            assert_eq!(cancel, [Action::Cancel { dispatch: sent.id }]);
            fixture.end(DEADLINE, sent, failed(Kind::Cancelled, true))
        },
    },
    Case {
        reason: Reason::WorkspaceLimit,
        outcome: Outcome::NotRun,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 1, 2);
            fixture.arrive(Millis(1), true);
            fixture.arrive(DEADLINE - Millis(150), true)
        },
    },
    Case {
        reason: Reason::RetryBudget,
        outcome: Outcome::NotRun,
        trigger: || {
            let mut fixture = Fixture::new(settings().with_max_attempts(20).with_retry_percent(0), 9, 2);
            let mut actions = fixture.arrive_until(Millis(1), false, Millis::from_secs(60));
            for attempt in 1..=10 {
                let sent = dispatch(&actions);
                let now = Millis::from_secs(2 * attempt);
                assert_eq!(fixture.end(now, sent, failed(Kind::Rejected, false)), []);
                actions = fixture.step(now + Millis(1_000), Event::Tick);
            }
            let sent = dispatch(&actions);
            fixture.end(Millis::from_secs(22), sent, failed(Kind::Rejected, false))
        },
    },
    Case {
        reason: Reason::AttemptsExhausted,
        outcome: Outcome::Unknown,
        trigger: || {
            let mut fixture = Fixture::new(settings().with_max_attempts(1), 9, 2);
            let sent = dispatch(&fixture.arrive(Millis(1), true));
            fixture.end(Millis(2), sent, failed(Kind::ServerError, true))
        },
    },
    Case {
        reason: Reason::MayHaveRun,
        outcome: Outcome::Unknown,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 9, 2);
            let sent = dispatch(&fixture.arrive(Millis(1), false));
            fixture.end(Millis(2), sent, failed(Kind::Reset, true))
        },
    },
    // The request was taken over from another node after a partial response.
    Case {
        reason: Reason::MayHaveRun,
        outcome: Outcome::Unknown,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 9, 2);
            let arrival = Arrival::new(CallKey(1), fixture.endpoint, fixture.workspace, DEADLINE);
            fixture.step(Millis(1), Event::Arrive(arrival.with_delivered(3)))
        },
    },
    // The node reports that the request did not run, although a byte had been sent.
    Case {
        reason: Reason::MayHaveRun,
        outcome: Outcome::Unknown,
        trigger: || {
            let mut fixture = Fixture::new(settings(), 9, 2);
            let sent = dispatch(&fixture.arrive(Millis(1), false));
            fixture.step(Millis(1), Event::Sent { dispatch: sent.id });
            fixture.end(Millis(2), sent, failed(Kind::Connect, false))
        },
    },
];

#[test]
fn each_refusal_has_its_reason_and_outcome() {
    for case in CASES {
        let refusal = fixture::refusal(&(case.trigger)());
        assert_eq!(refusal.reason, case.reason);
        assert_eq!(refusal.outcome, case.outcome, "{}", case.reason);
    }
    for reason in Reason::ALL {
        assert!(
            CASES.iter().any(|case| case.reason == reason),
            "no case for {reason}"
        );
    }
}
