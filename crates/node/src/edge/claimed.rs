//! Non-idempotent requests: each runs at most once under its key.

use axum::response::{IntoResponse, Response};
use base::{Incarnation, Name};
use claim::table::{Finish, Home};
use claim::{Answer, Binding, Fingerprint, Key};
use http::StatusCode;
use tokio::sync::mpsc;

use super::peer::forward;
use super::{Problem, call};
use crate::actor::claims::{Arrive, Finished, Verdict};
use crate::actor::members::Whereabouts;
use crate::dispatch::driver::Permit;
use crate::dispatch::{Driver, End, Outgoing, Whole};
use crate::shared::Shared;

/// The end of a request with a key.
#[derive(Clone, Debug)]
pub enum Closed {
    /// The whole answer, of this run or an earlier one.
    Whole(Whole),
    /// There is none.
    Refused(Problem),
}

impl IntoResponse for Closed {
    fn into_response(self) -> Response {
        match self {
            Self::Whole(whole) => call::answer(whole),
            Self::Refused(problem) => problem.into_response(),
        }
    }
}

/// Serves a non-idempotent request of a caller.
pub async fn serve(shared: &Shared, outgoing: Outgoing) -> Response {
    settle(shared, outgoing).await.into_response()
}

/// Runs the request, replays its answer, or forwards it to the node that its key names.
pub async fn settle(shared: &Shared, outgoing: Outgoing) -> Closed {
    let Some(text) = outgoing.key.clone() else {
        return Closed::Refused(key_missing(&outgoing.endpoint));
    };
    let Ok(key) = text.parse::<Key>() else {
        return Closed::Refused(key_foreign(&outgoing.endpoint));
    };
    let (home, place) = whereabouts(shared, key.home).await;
    let verdicts = shared.claims.ask(arrive(&outgoing, key, home)).await;
    let Ok(mut verdicts) = verdicts else {
        return Closed::Refused(Problem::stopping().counted());
    };
    loop {
        match verdicts.recv().await {
            Some(Verdict::Run(call)) => {
                let permit = Permit { call, key };
                tokio::spawn(run(shared.clone(), outgoing.clone(), permit));
            }
            Some(Verdict::Join | Verdict::Issued(_)) => {}
            Some(Verdict::Forward(to)) => return away(shared, outgoing, to, place).await,
            Some(Verdict::Answer(answer)) => return closed(answer),
            None => return Closed::Refused(call::broken(base::Outcome::Unknown)),
        }
    }
}

fn arrive(outgoing: &Outgoing, key: Key, home: Home) -> Arrive {
    let binding = Binding::new(outgoing.endpoint.clone(), outgoing.workspace.clone());
    let fingerprint = Fingerprint::new(
        outgoing.method.as_str().as_bytes(),
        outgoing.path.as_bytes(),
        &outgoing.body,
    );
    Arrive {
        key,
        binding,
        fingerprint,
        home,
    }
}

fn closed(answer: Answer) -> Closed {
    match answer {
        Answer::Recorded(record) => Closed::Whole(Whole::from_record(&record)),
        Answer::Refused(reason) => Closed::Refused(Problem::from_claim(reason)),
    }
}

/// Runs the request to its end, also when its caller is gone: repeats may want the result.
async fn run(shared: Shared, outgoing: Outgoing, permit: Permit) {
    let result = match Driver::start(shared.clone(), outgoing).await {
        Some(driver) => drive(driver.with_permit(permit)).await,
        None => Finish::NotRun,
    };
    let finished = Finished {
        call: permit.call,
        key: permit.key,
        result,
    };
    let _gone = shared.claims.tell(finished).await;
}

async fn drive(mut driver: Driver) -> Finish {
    match driver.run().await {
        End::Whole(whole) => Finish::Answered(whole.to_record()),
        End::Refused(refusal) if refusal.outcome == base::Outcome::NotRun => Finish::NotRun,
        End::Refused(_) | End::Streamed | End::CallerGone | End::Broken => Finish::Unknown,
    }
}

/// What this node knows about a key's home, and where it listens.
async fn whereabouts(shared: &Shared, home: Incarnation) -> (Home, Option<std::net::SocketAddr>) {
    if home == shared.incarnation {
        return (Home::Alive, None);
    }
    match shared.members.ask(Whereabouts(home)).await {
        Ok(found) => (found.home, found.peer),
        Err(_stopped) => (Home::Unreachable, None),
    }
}

async fn away(
    shared: &Shared,
    outgoing: Outgoing,
    to: Incarnation,
    known: Option<std::net::SocketAddr>,
) -> Closed {
    let peer = match known {
        Some(peer) => Some(peer),
        None => whereabouts(shared, to).await.1,
    };
    let unreachable = || Closed::Refused(Problem::from_claim(claim::Reason::HomeUnreachable).counted());
    let Some(peer) = peer else { return unreachable() };
    match forward(shared, &outgoing, peer).await {
        Ok(closed) => closed,
        Err(error) => {
            log::warn!("request not forwarded to {to}: {error}");
            unreachable()
        }
    }
}

/// Asks for a key, for `POST /v1/endpoints/{endpoint}/keys`.
pub async fn issue(shared: &Shared, endpoint: Name, workspace: Name) -> Result<Key, Problem> {
    let issue = crate::actor::claims::Issue(Binding::new(endpoint, workspace));
    let verdicts = shared.claims.ask(issue).await;
    let mut verdicts: mpsc::Receiver<Verdict> = verdicts.map_err(|_stopped| Problem::stopping().counted())?;
    match verdicts.recv().await {
        Some(Verdict::Issued(key)) => Ok(key),
        Some(Verdict::Answer(Answer::Refused(reason))) => Err(Problem::from_claim(reason)),
        _other => Err(call::broken(base::Outcome::NotRun)),
    }
}

fn key_missing(endpoint: &Name) -> Problem {
    let detail = format!(
        "this route may not run twice: get a key by POST /v1/endpoints/{endpoint}/keys and send it as \
         Idempotency-Key"
    );
    Problem::new(StatusCode::BAD_REQUEST, "key-missing", detail).counted()
}

fn key_foreign(endpoint: &Name) -> Problem {
    let detail = format!(
        "this is no key of this system: get one by POST /v1/endpoints/{endpoint}/keys and use it as given"
    );
    Problem::new(StatusCode::BAD_REQUEST, "key-malformed", detail).counted()
}
