//! Reads callers' requests.

use std::sync::Arc;

use ::intake::Progress;
use base::Millis;
use http::{HeaderMap, HeaderName, StatusCode, Uri, header, request};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use table::Limits;
use tokio::time::timeout;

use super::{Activity, Reason};
use crate::Shared;
use crate::intake::{Limit, NoMemory, Payload, Pieces};

/// Hop-by-hop headers, and others that apply to a single connection.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];
/// Another such header, for which the library has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// Why a body is not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Incomplete {
    /// It is larger than allowed.
    TooLarge,
    /// It arrives too slowly.
    TooSlow,
    /// The client broke off.
    Broken,
    /// There is no memory for it.
    NoMemory,
}

impl From<NoMemory> for Incomplete {
    fn from(_none: NoMemory) -> Self {
        Self::NoMemory
    }
}

/// Maximum time to receive a body: the request can't be answered in time if it arrives later than its own time-out or
/// that of its route. A body with steady progress would otherwise hold a connection for days.
pub(super) fn max_body_time(
    shared: &Shared,
    head: &request::Parts,
    timeout: Option<Millis>,
    limits: Limits,
) -> Millis {
    let view = shared.view();
    let host = host(head);
    let table = view.table.as_ref();
    let route = table.and_then(|table| table.route(host, head.uri.path()));
    let of_route = route.map_or(limits.idle_timeout, |matched| matched.route.timeout);
    let own = timeout.unwrap_or(Millis::NEVER);
    own.min(of_route).max(limits.head_timeout)
}

/// The host that the request is for; empty if it names none.
pub(super) fn host(head: &request::Parts) -> &str {
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|value| value.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or("")
}

/// Reads a complete body within the configured limits. What is refused is not read on; the connection is closed once the
/// client has the response.
pub(crate) async fn read_body(
    shared: &Shared,
    head: &request::Parts,
    incoming: Incoming,
    limits: Limits,
    deadline: Millis,
) -> Result<Payload, Reason> {
    let activity = head.extensions.get::<Arc<Activity>>().map(|it| &**it);
    let received = receive(shared, activity, incoming, limits, deadline).await;
    if let Some(activity) = activity {
        activity.end_receiving(received.is_ok());
    }
    received.map_err(|incomplete| {
        let (used, max) = shared.request_memory.usage();
        let record = |limit, used, max| shared.limit_report.record(shared.now(), limit, used, max);
        match incomplete {
            Incomplete::TooLarge => {
                record(Limit::BodyBytes, limits.body_bytes, limits.body_bytes);
                Reason::BadBody(StatusCode::PAYLOAD_TOO_LARGE)
            }
            Incomplete::TooSlow => {
                record(Limit::BodyProgress, used, max);
                Reason::BadBody(StatusCode::REQUEST_TIMEOUT)
            }
            Incomplete::Broken => Reason::BadBody(StatusCode::BAD_REQUEST),
            Incomplete::NoMemory => {
                record(Limit::RequestMemory, used, max);
                Reason::NoMemory
            }
        }
    })
}

async fn receive(
    shared: &Shared,
    activity: Option<&Activity>,
    mut incoming: Incoming,
    limits: Limits,
    deadline: Millis,
) -> Result<Payload, Incomplete> {
    let announced = incoming.size_hint().lower() as usize;
    if announced > limits.body_bytes {
        return Err(Incomplete::TooLarge);
    }
    let mut pieces = Pieces::new(shared.request_memory.hold(announced));
    let mut progress = Progress::new(shared.now(), limits.head_timeout);
    loop {
        let now = shared.now();
        if let Some(activity) = activity {
            activity.receive(now);
        }
        let left = progress.left(now).min(deadline.since(now));
        let received = tokio::select! {
            received = timeout(left.as_duration(), incoming.frame()) => received,
            () = pieces.holding().evicted() => return Err(Incomplete::NoMemory),
        };
        let frame = match received {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(pieces.into_payload()?),
            Ok(Some(Err(_broken_off))) => return Err(Incomplete::Broken),
            Err(_elapsed) => return Err(Incomplete::TooSlow),
        };
        let Ok(piece) = frame.into_data() else { continue };
        if pieces.length() + piece.len() > limits.body_bytes {
            return Err(Incomplete::TooLarge);
        }
        progress.record(shared.now(), piece.len());
        pieces.holding().progress();
        if pieces.push(&piece).await? {
            progress.resume(shared.now());
        }
    }
}

/// Removes headers that apply to a single connection, including those listed in the `Connection` header.
pub(super) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

/// Path and query only, even if the caller sent an absolute URI.
pub(super) fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
