//! Sends a request through an intermediary.

use std::sync::Arc;

use base::Millis;
use http::{HeaderValue, Request, StatusCode};

use super::header::{CAUSE, CUT_OFF, OTHERS, OUTCOME, Outcome, TARGET, Target, decode_nodes};
use crate::Shared;
use crate::serve::sent::{ExchangeError, Exchanged};
use crate::shared::Intermediary;
use crate::upstream::{Connection, PendingResponse, REPLICA_LIVENESS, RequestBody};

/// Name of the connections to intermediaries.
const CONNECTION_NAME: &str = "intermediary";
/// Time for which a node is left out that takes no requests for others at the moment.
const DECLINED_PAUSE: Millis = Millis(300);
/// Time for which a node is left out that can't be reached.
const UNREACHABLE_PAUSE: Millis = Millis(1_000);
/// Time for which a node is left out whose build does not forward requests.
const UNSUPPORTED_PAUSE: Millis = Millis(60_000);

/// Where a request goes, and through which node.
#[derive(Clone, Debug)]
pub struct Hop {
    pub intermediary: Intermediary,
    pub endpoint: Arc<str>,
    pub replica: Arc<str>,
    /// Maximum idle time of the connection to the intermediary.
    pub max_idle: Millis,
}

/// Sends a request through an intermediary and waits for the head of the replica's response. Nothing is sent again.
pub async fn send_through<F>(shared: &Shared, hop: Hop, request: F) -> Exchanged
where
    F: FnOnce() -> Request<RequestBody>,
{
    let Intermediary { address, .. } = hop.intermediary;
    let exclude = |cause: &str, pause| {
        shared.exclude_intermediary(&hop.endpoint, &hop.intermediary, cause, pause);
    };
    let name: Arc<str> = Arc::from(CONNECTION_NAME);
    let own = shared.settings().peer_listen.ip();
    let connection = match shared.connections.take(&name, address, hop.max_idle) {
        Some(connection) => connection,
        None => match Connection::connect_from(own, &name, address, REPLICA_LIVENESS).await {
            Ok(connection) => connection,
            Err(cause) => {
                exclude(&cause, UNREACHABLE_PAUSE);
                return Err(ExchangeError::Declined(format!("intermediary: {cause}")));
            }
        },
    };
    let target = Target {
        sender: shared.incarnation,
        endpoint: Arc::clone(&hop.endpoint),
        replica: hop.replica,
    };
    let value = HeaderValue::from_str(&target.to_string()).map_err(|error| {
        ExchangeError::NotSent(format!("invalid name of an endpoint or a replica: {error}"))
    })?;
    let mut request = request();
    request.headers_mut().insert(TARGET, value);
    let pending = match connection.send(request).await {
        Ok(pending) => pending,
        Err(error) => {
            exclude("request lost", UNREACHABLE_PAUSE);
            return Err(error.into());
        }
    };
    read_outcome(shared, &hop.endpoint, &hop.intermediary, pending)
}

fn read_outcome(
    shared: &Shared,
    endpoint: &Arc<str>,
    intermediary: &Intermediary,
    mut pending: PendingResponse,
) -> Exchanged {
    let headers = pending.response.headers_mut();
    let outcome = headers.remove(OUTCOME);
    let cause = headers.remove(CAUSE);
    let others = headers.remove(OTHERS);
    let reason = cause.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("");
    let cause = format!("intermediary: {reason}");
    match outcome.and_then(|it| Outcome::parse(it.as_bytes())) {
        Some(Outcome::Answered) => {
            shared.record_forwarded(endpoint, intermediary.node);
            Ok(pending)
        }
        Some(Outcome::NotSent) => Err(ExchangeError::NotSent(cause)),
        Some(Outcome::Declined) if reason == CUT_OFF => {
            let others = others.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("");
            shared.record_cut_off_intermediary(endpoint, intermediary, &decode_nodes(others));
            Err(ExchangeError::Declined(cause))
        }
        Some(Outcome::Declined) => {
            shared.exclude_intermediary(endpoint, intermediary, &cause, DECLINED_PAUSE);
            Err(ExchangeError::Declined(cause))
        }
        Some(Outcome::Lost) => Err(ExchangeError::Lost(cause)),
        None if pending.response.status() == StatusCode::NOT_FOUND => {
            shared.exclude_intermediary(endpoint, intermediary, "not supported", UNSUPPORTED_PAUSE);
            Err(ExchangeError::Declined("intermediary: not supported".to_owned()))
        }
        None => Err(ExchangeError::Lost(
            "intermediary: response without an outcome".to_owned(),
        )),
    }
}
