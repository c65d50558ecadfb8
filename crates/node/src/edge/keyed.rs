//! Non-idempotent requests: each runs at most once under its key.

use std::net::SocketAddr;

use axum::response::{IntoResponse, Response};
use base::{Incarnation, Name, Outcome};
use claim::ledger;
use claim::table::{Finish, Home};
use claim::{Binding, Fingerprint, Key};
use http::StatusCode;
use member::node::State;
use tokio::sync::mpsc;

use super::peer::forward;
use super::{Problem, call};
use crate::actor::claims::chosen::{ArriveChosen, ShardOf};
use crate::actor::claims::{Arrive, Directive, Finished, IdempotencyKey};
use crate::actor::members::{Locate, Nodes};
use crate::dispatch::driver::Permit;
use crate::dispatch::{Answer, Driver, End, Outgoing};
use crate::shared::Shared;

/// Longest key that a caller may choose, in bytes.
const CHOSEN_KEY_MAX_BYTES: usize = 255;

/// The end of a request with a key.
#[derive(Clone, Debug)]
pub enum Completion {
    /// The whole answer, of this run or an earlier one.
    Answered(Answer),
    /// There is none.
    Refused(Problem),
}

impl IntoResponse for Completion {
    fn into_response(self) -> Response {
        match self {
            Self::Answered(answer) => call::response(answer),
            Self::Refused(problem) => problem.into_response(),
        }
    }
}

/// Serves a non-idempotent request of a caller.
pub async fn serve(shared: &Shared, outgoing: Outgoing) -> Response {
    complete(shared, outgoing).await.into_response()
}

/// Runs the request, replays its answer, or forwards it to the node that knows its key.
pub async fn complete(shared: &Shared, outgoing: Outgoing) -> Completion {
    let Some(text) = outgoing.key.clone() else {
        return Completion::Refused(key_missing(&outgoing.endpoint));
    };
    match text.parse::<Key>() {
        Ok(key) => run_issued(shared, outgoing, key).await,
        // NB: what looks like an issued key is never taken for a chosen one, or it could run elsewhere again.
        Err(_malformed) if text.starts_with(Key::PREFIX) => {
            Completion::Refused(key_malformed(&outgoing.endpoint))
        }
        Err(_chosen) => run_chosen(shared, outgoing, &text).await,
    }
}

/// A key that this deployment issued: its home runs it.
async fn run_issued(shared: &Shared, outgoing: Outgoing, key: Key) -> Completion {
    let (home, address) = locate(shared, key.home).await;
    let arrive = Arrive {
        key,
        binding: binding(&outgoing),
        fingerprint: fingerprint(&outgoing),
        home,
    };
    match shared.claims.ask(arrive).await {
        Ok(directives) => {
            follow_directives(shared, outgoing, IdempotencyKey::Issued(key), directives, address).await
        }
        Err(_ended) => Completion::Refused(call::node_failed(Outcome::Unknown)),
    }
}

/// A key that the caller chose: claimed in the key-value service, by the shard's preferred node if it can be reached.
async fn run_chosen(shared: &Shared, outgoing: Outgoing, text: &str) -> Completion {
    if text.len() > CHOSEN_KEY_MAX_BYTES {
        return Completion::Refused(key_malformed(&outgoing.endpoint));
    }
    let key = ledger::Key::new(&binding(&outgoing), text.as_bytes());
    if !outgoing.forwarded
        && let Some(peer) = preferred_peer(shared, key).await
        && let Ok(completion) = forward(shared, &outgoing, peer).await
    {
        return completion;
    }
    let arrive = ArriveChosen {
        key,
        fingerprint: fingerprint(&outgoing),
    };
    match shared.claims.ask(arrive).await {
        Ok(directives) => {
            follow_directives(shared, outgoing, IdempotencyKey::Chosen(key), directives, None).await
        }
        Err(_ended) => Completion::Refused(call::node_failed(Outcome::Unknown)),
    }
}

/// Where the preferred writer of the key's shard listens, if that is another node.
async fn preferred_peer(shared: &Shared, key: ledger::Key) -> Option<SocketAddr> {
    let shard = shared.claims.ask(ShardOf(key)).await.ok()?;
    let nodes = shared.members.ask(Nodes).await.ok()?;
    let alive: Vec<Incarnation> = nodes
        .iter()
        .filter(|node| node.state == State::Alive)
        .map(|node| node.incarnation)
        .collect();
    let writer = shard.preferred_writer(&alive)?;
    let node = nodes.iter().find(|node| node.incarnation == writer)?;
    (writer != shared.incarnation).then_some(node.peer)
}

/// Does what the call is told, until it is answered.
async fn follow_directives(
    shared: &Shared,
    outgoing: Outgoing,
    key: IdempotencyKey,
    mut directives: mpsc::Receiver<Directive>,
    address: Option<SocketAddr>,
) -> Completion {
    loop {
        match directives.recv().await {
            Some(Directive::Run(call)) => {
                let permit = Permit { call, key };
                tokio::spawn(run(shared.clone(), outgoing.clone(), permit));
            }
            Some(Directive::Join | Directive::Issued(_)) => {}
            Some(Directive::Forward(to)) => {
                return forward_to_owner(shared, outgoing, to, key, address).await;
            }
            Some(Directive::Answer(answer)) => return completion(answer),
            None => return Completion::Refused(call::node_failed(Outcome::Unknown)),
        }
    }
}

fn binding(outgoing: &Outgoing) -> Binding {
    Binding::new(outgoing.endpoint.clone(), outgoing.workspace.clone())
}

fn fingerprint(outgoing: &Outgoing) -> Fingerprint {
    Fingerprint::new(
        outgoing.method.as_str().as_bytes(),
        outgoing.path.as_bytes(),
        &outgoing.body,
    )
}

fn completion(answer: claim::Answer) -> Completion {
    match answer {
        claim::Answer::Recorded(record) => Completion::Answered(Answer::from_record(&record)),
        claim::Answer::Refused(reason) => Completion::Refused(Problem::from_claim(reason)),
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
        End::Answered(answer) => Finish::Answered(answer.to_record()),
        End::Refused(refusal) if refusal.outcome == Outcome::NotRun => Finish::NotRun,
        End::Refused(_) | End::Streamed | End::CallerGone | End::Broken => Finish::Unknown,
    }
}

/// What this node knows about a key's home, and where it listens.
async fn locate(shared: &Shared, home: Incarnation) -> (Home, Option<SocketAddr>) {
    if home == shared.incarnation {
        return (Home::Alive, None);
    }
    match shared.members.ask(Locate(home)).await {
        Ok(location) => (location.home, location.peer),
        Err(_stopped) => (Home::Unreachable, None),
    }
}

async fn forward_to_owner(
    shared: &Shared,
    outgoing: Outgoing,
    to: Incarnation,
    key: IdempotencyKey,
    known_address: Option<SocketAddr>,
) -> Completion {
    let (home, address) = match known_address {
        Some(peer) => (Home::Alive, Some(peer)),
        None => locate(shared, to).await,
    };
    let reason = match (key, home) {
        (IdempotencyKey::Issued(_), _) => claim::Reason::HomeUnreachable,
        (IdempotencyKey::Chosen(_), Home::Gone | Home::Successor(_)) => claim::Reason::Interrupted,
        (IdempotencyKey::Chosen(_), Home::Alive | Home::Unreachable) => claim::Reason::HeldElsewhere,
    };
    let refused = || Completion::Refused(Problem::from_claim(reason).counted());
    // NB: no circle can arise, as all nodes read the same claimant from the log.
    let Some(peer) = address.filter(|_| reason != claim::Reason::Interrupted) else {
        return refused();
    };
    match forward(shared, &outgoing, peer).await {
        Ok(completion) => completion,
        Err(error) => {
            log::warn!("request not forwarded to {to}: {error}");
            refused()
        }
    }
}

/// Asks for a key, for `POST /v1/endpoints/{endpoint}/keys`.
pub async fn issue(shared: &Shared, endpoint: Name, workspace: Name) -> Result<Key, Problem> {
    let issue = crate::actor::claims::Issue(Binding::new(endpoint, workspace));
    let directives = shared.claims.ask(issue).await;
    let mut directives: mpsc::Receiver<Directive> =
        directives.map_err(|_stopped| Problem::stopping().counted())?;
    match directives.recv().await {
        Some(Directive::Issued(key)) => Ok(key),
        Some(Directive::Answer(claim::Answer::Refused(reason))) => Err(Problem::from_claim(reason)),
        _other => Err(call::node_failed(Outcome::NotRun)),
    }
}

fn key_missing(endpoint: &Name) -> Problem {
    let detail = format!(
        "this route may not run twice: get a key by POST /v1/endpoints/{endpoint}/keys and send it as \
         Idempotency-Key"
    );
    Problem::new(StatusCode::BAD_REQUEST, "key-missing", detail).counted()
}

fn key_malformed(endpoint: &Name) -> Problem {
    let detail = format!(
        "this is no key of this system: get one by POST /v1/endpoints/{endpoint}/keys and use it as given"
    );
    Problem::new(StatusCode::BAD_REQUEST, "key-malformed", detail).counted()
}
