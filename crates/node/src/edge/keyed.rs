//! Non-idempotent requests, which run at most once per key.

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

/// Maximum length of a key chosen by a caller, in bytes.
const CHOSEN_KEY_MAX_BYTES: usize = 255;

/// Reply to a request with a key.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The complete answer of this or an earlier run.
    Answered(Answer),
    /// There is no answer.
    Refused(Problem),
}

impl IntoResponse for Reply {
    fn into_response(self) -> Response {
        match self {
            Self::Answered(answer) => call::response(answer),
            Self::Refused(problem) => problem.into_response(),
        }
    }
}

/// Serves a caller's non-idempotent request.
pub async fn serve(shared: &Shared, outgoing: Outgoing) -> Response {
    complete(shared, outgoing).await.into_response()
}

/// Runs the request, replays its answer, or forwards it to the node that holds its key.
pub async fn complete(shared: &Shared, outgoing: Outgoing) -> Reply {
    let Some(text) = outgoing.key.clone() else {
        return Reply::Refused(key_missing(&outgoing.endpoint));
    };
    match text.parse::<Key>() {
        Ok(key) => run_issued(shared, outgoing, key).await,
        // NB: text that looks like an issued key is never treated as a chosen one, or the request could run
        // again elsewhere.
        Err(_malformed) if text.starts_with(Key::PREFIX) => Reply::Refused(key_malformed(&outgoing.endpoint)),
        Err(_chosen) => run_chosen(shared, outgoing, &text).await,
    }
}

/// Completes a request with an issued key, which runs at the key's home node.
async fn run_issued(shared: &Shared, outgoing: Outgoing, key: Key) -> Reply {
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
        Err(_ended) => Reply::Refused(call::node_failed(Outcome::Unknown)),
    }
}

/// Completes a request with a chosen key. The key is claimed in the key-value service, by the preferred
/// writer of its shard if that node can be reached.
async fn run_chosen(shared: &Shared, outgoing: Outgoing, text: &str) -> Reply {
    if text.len() > CHOSEN_KEY_MAX_BYTES {
        return Reply::Refused(key_malformed(&outgoing.endpoint));
    }
    let key = ledger::Key::new(&binding(&outgoing), text.as_bytes());
    if !outgoing.forwarded
        && let Some(peer) = preferred_peer(shared, key).await
        && let Ok(reply) = forward(shared, &outgoing, peer).await
    {
        return reply;
    }
    let arrive = ArriveChosen {
        key,
        fingerprint: fingerprint(&outgoing),
    };
    match shared.claims.ask(arrive).await {
        Ok(directives) => {
            follow_directives(shared, outgoing, IdempotencyKey::Chosen(key), directives, None).await
        }
        Err(_ended) => Reply::Refused(call::node_failed(Outcome::Unknown)),
    }
}

/// Peer address of the preferred writer of the key's shard, if that is another node.
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

/// Follows the directives until the call is answered.
async fn follow_directives(
    shared: &Shared,
    outgoing: Outgoing,
    key: IdempotencyKey,
    mut directives: mpsc::Receiver<Directive>,
    address: Option<SocketAddr>,
) -> Reply {
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
            Some(Directive::Answer(answer)) => return reply(answer),
            None => return Reply::Refused(call::node_failed(Outcome::Unknown)),
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

fn reply(answer: claim::Answer) -> Reply {
    match answer {
        claim::Answer::Recorded(record) => Reply::Answered(Answer::from_record(&record)),
        claim::Answer::Refused(reason) => Reply::Refused(Problem::from_claim(reason)),
    }
}

/// Runs the request to its end even if the caller disconnects, since a repeated request may need the result.
async fn run(shared: Shared, outgoing: Outgoing, permit: Permit) {
    let result = match Driver::start(shared.clone(), outgoing).await {
        Some(driver) => run_driver(driver.with_permit(permit)).await,
        None => Finish::NotRun,
    };
    let finished = Finished {
        call: permit.call,
        key: permit.key,
        result,
    };
    let _gone = shared.claims.tell(finished).await;
}

async fn run_driver(mut driver: Driver) -> Finish {
    match driver.run().await {
        End::Answered(answer) => Finish::Answered(answer.to_record()),
        End::Refused(refusal) if refusal.outcome == Outcome::NotRun => Finish::NotRun,
        End::Refused(_) | End::Streamed | End::CallerGone | End::Broken => Finish::Unknown,
    }
}

/// State and peer address of a key's home node.
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
) -> Reply {
    let (home, address) = match known_address {
        Some(peer) => (Home::Alive, Some(peer)),
        None => locate(shared, to).await,
    };
    let reason = match (key, home) {
        (IdempotencyKey::Issued(_), _) => claim::Reason::HomeUnreachable,
        (IdempotencyKey::Chosen(_), Home::Gone | Home::Successor(_)) => claim::Reason::Interrupted,
        (IdempotencyKey::Chosen(_), Home::Alive | Home::Unreachable) => claim::Reason::HeldElsewhere,
    };
    let refused = || Reply::Refused(Problem::from_claim(reason).counted());
    // NB: forwarding can't loop, since all nodes read the same owner from the log.
    let Some(peer) = address.filter(|_| reason != claim::Reason::Interrupted) else {
        return refused();
    };
    match forward(shared, &outgoing, peer).await {
        Ok(reply) => reply,
        Err(error) => {
            log::warn!("request not forwarded to {to}: {error}");
            refused()
        }
    }
}

/// Issues a key, for `POST /v1/endpoints/{endpoint}/keys`.
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
