//! Calls whose responses are read completely.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Either, Full};

use super::{Connection, Connections, SendError};
use crate::net::Liveness;

/// Calls are short and can be repeated, so a server that is gone should show soon. The probe interval is the smallest that the
/// kernel supports.
const LIVENESS: Liveness = Liveness {
    unacknowledged: Duration::from_millis(1_500),
    probe: Duration::from_secs(1),
};

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Makes a call on an idle or new connection to the server `name` and reads the whole response. Nothing is retried.
pub async fn call(
    connections: &Connections,
    name: &Arc<str>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Reply, SendError> {
    call_with(Some(connections), name, address, || Ok(request)).await
}

/// Like [`call`], with a request that is made once there is a connection. It is not sent if that fails; the error holds the
/// cause. Without `connections` the call has a connection of its own.
pub async fn call_with<F>(
    connections: Option<&Connections>,
    name: &Arc<str>,
    address: SocketAddr,
    request: F,
) -> Result<Reply, SendError>
where
    F: FnOnce() -> Result<Request<Full<Bytes>>, String>,
{
    let idle = connections.and_then(|it| it.take(name, address, Millis::NEVER));
    let connection = match idle {
        Some(connection) => connection,
        None => Connection::connect_for_calls(name, address, LIVENESS)
            .await
            .map_err(SendError::NotSent)?,
    };
    let pending = connection
        .send_with(|| request().map(|request| request.map(Either::Left)))
        .await?;
    let (head, incoming) = pending.response.into_parts();
    let collected = incoming.collect().await;
    let body = collected
        .map_err(|error| SendError::Lost(error.to_string()))?
        .to_bytes();
    let closes = head.headers.get(header::CONNECTION);
    let is_kept = closes.is_none_or(|value| !value.as_bytes().eq_ignore_ascii_case(b"close"));
    if let Some(connections) = connections.filter(|_| is_kept) {
        connections.put(pending.connection, None);
    }
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}
