//! Sends requests of other nodes to replicas, and relays the responses.

use std::net::IpAddr;
use std::sync::Arc;

use async_stream::stream;
use base::{Incarnation, Millis};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body::Frame;
use http_body_util::{BodyExt, Either, StreamBody};
use hyper::body::Incoming;
use place::{Claim, Destination, ForwardError, ReplicaKey, is_status};
use poison::Suspects;
use table::Residency;

use super::header::{CAUSE, CUT_OFF, OTHERS, OUTCOME, Outcome, TARGET, Target, encode_nodes};
use crate::Shared;
use crate::edge::ResponseHead;
use crate::lifecycle::Phase;
use crate::serve::Reason;
use crate::serve::body::{self, Aborted, Body};
use crate::serve::call::suspects;
use crate::serve::in_flight::CRASH_WINDOW;
use crate::serve::inbound::{max_body_time, read_body, strip_connection};
use crate::shared::{ForwardGuard, RequestGuard};
use crate::upstream::{Connection, PendingResponse, RequestBody, SendError};

/// Maximum idle time of a connection to a replica. Replicas drop connections without notice after about 300 ms.
const MAX_IDLE: Millis = Millis(200);

/// Why there is no response of the replica.
#[derive(Clone, Debug)]
struct Failure {
    outcome: Outcome,
    cause: String,
    /// Other nodes that reach the endpoint.
    others: Vec<Incarnation>,
}

impl Failure {
    fn new<C>(outcome: Outcome, cause: C) -> Self
    where
        C: Into<String>,
    {
        Self {
            outcome,
            cause: cause.into(),
            others: Vec::new(),
        }
    }

    /// A decline, with the nodes of the same zone that reach the endpoint.
    fn decline(shared: &Shared, endpoint: &str, cause: &str) -> Self {
        Self {
            others: shared.other_intermediaries(endpoint),
            ..Self::new(Outcome::Declined, cause)
        }
    }
}

/// A request of another node on its way to a replica.
#[derive(Debug)]
struct Forwarded {
    shared: Arc<Shared>,
    /// The id for log lines, and as the replica repeats it.
    id: String,
    echo: Bytes,
    target: Target,
    replica: Destination,
    /// What of the request may crash the replica.
    suspects: Suspects,
    received: Millis,
    _forward: ForwardGuard,
    _request: RequestGuard,
}

/// Whether a call of another node is a request for a replica.
pub(crate) fn is_forward(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(TARGET)
}

/// Sends a request of another node to the replica that it names, and returns the response.
pub(crate) async fn handle_request(
    shared: Arc<Shared>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    match forward(shared, caller, request).await {
        Ok(response) => response,
        Err(failure) => {
            let mut response = Response::new(body::full(Bytes::new()));
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            let headers = response.headers_mut();
            headers.insert(OUTCOME, HeaderValue::from_static(failure.outcome.label()));
            if let Ok(cause) = HeaderValue::from_str(&failure.cause) {
                headers.insert(CAUSE, cause);
            }
            if !failure.others.is_empty()
                && let Ok(others) = HeaderValue::from_str(&encode_nodes(&failure.others))
            {
                headers.insert(OTHERS, others);
            }
            response
        }
    }
}

async fn forward(
    shared: Arc<Shared>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let received = shared.now();
    let (mut head, incoming) = request.into_parts();
    let target = head.headers.remove(TARGET);
    // The body is read before anything else is refused, so that the connection can be used again.
    let limits = shared.caller_limits();
    let decoded = shared.edge.decode_request(&head).unwrap_or_default();
    let deadline = received + max_body_time(&shared, &head, decoded.timeout, limits);
    let body = read_body(&shared, &head, incoming, limits, deadline).await;
    let target: Target = target
        .as_ref()
        .and_then(|it| it.to_str().ok())
        .ok_or("no target")
        .and_then(str::parse)
        .map_err(|cause| Failure::new(Outcome::NotSent, cause))?;
    let id = str::from_utf8(&decoded.id).unwrap_or("").to_owned();
    let admitted = match body {
        Ok(body) => admit(&shared, caller, &target).map(|admitted| (admitted, body)),
        Err(Reason::NoMemory) => Err(Failure::decline(&shared, &target.endpoint, "no memory")),
        Err(_incomplete) => Err(Failure::new(Outcome::NotSent, "incomplete request")),
    };
    let admitted = admitted.and_then(|it| {
        if is_allowed(&shared, &head, &target, it.0.0.replica) {
            Ok(it)
        } else {
            Err(Failure::new(
                Outcome::NotSent,
                "replica outside the allowed regions",
            ))
        }
    });
    let workspace = shared.edge.workspace(&head.headers);
    let described = (&head.method, &head.uri, &head.headers);
    let admitted = admitted.and_then(|(admitted, body)| {
        let suspects = suspects(described, workspace, &body, decoded.shared_parts());
        match shared.blocked_for(&suspects) {
            None => Ok((admitted, body, suspects)),
            Some(_wait) => Err(Failure::new(Outcome::NotSent, "request crashes replicas")),
        }
    });
    let ((replica, guard), body, suspects) = match admitted {
        Ok(admitted) => admitted,
        Err(failure) => {
            log_end(
                &shared,
                &id,
                &target,
                failure.outcome,
                0,
                &failure.cause,
                received,
            );
            return Err(failure);
        }
    };
    let forwarded = Forwarded {
        id,
        echo: decoded.id,
        target,
        replica,
        suspects,
        received,
        _forward: guard,
        _request: shared.track_request(),
        shared,
    };
    let mut outgoing = Request::new(Either::Right(body));
    *outgoing.method_mut() = head.method;
    *outgoing.uri_mut() = head.uri;
    *outgoing.headers_mut() = head.headers;
    strip_connection(outgoing.headers_mut());
    forwarded.run(outgoing).await
}

/// Checks whether a request of another node may be sent to a replica.
fn admit(
    shared: &Arc<Shared>,
    caller: IpAddr,
    target: &Target,
) -> Result<(Destination, ForwardGuard), Failure> {
    let is_node = {
        let view = shared.view();
        let sender = view.peers.get(&target.sender);
        sender.is_some_and(|peer| peer.peer_address.ip() == caller)
    };
    if !is_node || target.sender == shared.incarnation {
        return Err(Failure::new(Outcome::Declined, "sender is no other node"));
    }
    if shared.lifecycle.phase() >= Phase::Leaving {
        return Err(Failure::new(Outcome::Declined, "leaving"));
    }
    let now = shared.now();
    let found = shared.with_pool(&target.endpoint, |pool| pool.forward_target(now, &target.replica));
    let replica = found.map_err(|error| match error {
        ForwardError::CutOff => Failure::decline(shared, &target.endpoint, CUT_OFF),
        ForwardError::Gone => Failure::new(Outcome::NotSent, "replica not in use"),
        ForwardError::Evacuated => Failure::new(Outcome::NotSent, "zone evacuated"),
        ForwardError::Paused => Failure::new(Outcome::NotSent, "replica wants no requests"),
        ForwardError::Unreachable => Failure::new(Outcome::NotSent, "replica can't be reached"),
    })?;
    let guard = shared
        .forward_guard()
        .ok_or_else(|| Failure::decline(shared, &target.endpoint, "too many requests of other nodes"))?;
    Ok((replica, guard))
}

/// Whether a request may be processed where the replica is, by this node's configuration.
fn is_allowed(shared: &Shared, head: &request::Parts, target: &Target, replica: ReplicaKey) -> bool {
    let Some(table) = shared.view().table.clone() else {
        return true;
    };
    let host = head.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let Some(matched) = table.route(host.unwrap_or(""), head.uri.path()) else {
        return true;
    };
    let name = shared.edge.workspace(&head.headers);
    let workspace = table.workspaces().iter().find(|it| it.name.as_bytes() == name);
    let zones = shared.allowed_zones(&Residency::new(matched.route, workspace));
    zones.is_none()
        || shared.with_pool(&target.endpoint, |pool| {
            pool.is_in_zones(replica, zones.as_deref())
        })
}

impl Forwarded {
    async fn run(self, mut outgoing: Request<RequestBody>) -> Result<Response<Body>, Failure> {
        let shared = Arc::clone(&self.shared);
        let endpoint = Arc::clone(&self.target.endpoint);
        // As for requests that this node sends itself, only the id can tell a late response on a kept connection.
        let max_idle = (!self.echo.is_empty()).then_some(MAX_IDLE);
        let connected = shared.connect_replica(&endpoint, &self.replica, max_idle).await;
        let connection = connected.map_err(|cause| {
            let (now, replica) = (shared.now(), self.replica.replica);
            shared.with_pool(&endpoint, |pool| pool.record_unreachable(now, replica));
            self.fail(Outcome::NotSent, cause)
        })?;
        let spent = shared.now().since(self.received);
        shared.edge.subtract_time(outgoing.headers_mut(), spent);
        let pending = match connection.send(outgoing).await {
            Ok(pending) => pending,
            Err(SendError::NotSent(cause)) => return Err(self.fail(Outcome::NotSent, cause)),
            Err(SendError::Lost(cause)) => {
                self.record_crash();
                return Err(self.fail(Outcome::Lost, cause));
            }
        };
        let status = pending.response.status();
        if status.is_informational() || !is_status(status.as_u16()) {
            let cause = format!("response with the status {}", status.as_u16());
            return Err(self.fail(Outcome::Lost, cause));
        }
        let headers = pending.response.headers();
        let response_head = shared.edge.decode_response(&self.echo, status, headers);
        if response_head.claim() == Claim::Foreign {
            // The connection is closed, so that the replica does not go on with the request.
            return Err(self.fail(Outcome::Lost, "response to another request".to_owned()));
        }
        Ok(self.into_response(pending, response_head))
    }

    fn into_response(self, pending: PendingResponse, response_head: ResponseHead) -> Response<Body> {
        let (mut head, incoming) = pending.response.into_parts();
        self.record_advice(&response_head);
        let status = head.status;
        strip_connection(&mut head.headers);
        head.headers.remove(CAUSE);
        head.headers
            .insert(OUTCOME, HeaderValue::from_static(Outcome::Answered.label()));
        let body = self.into_body(status, response_head, pending.connection, incoming);
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = head.headers;
        response
    }

    fn into_body(
        self,
        status: StatusCode,
        response_head: ResponseHead,
        connection: Connection,
        mut incoming: Incoming,
    ) -> Body {
        let began = self.shared.now();
        let frames = stream! {
            while let Some(frame) = incoming.frame().await {
                match frame {
                    Ok(frame) => {
                        if let Ok(piece) = frame.into_data() {
                            yield Ok(Frame::data(piece));
                        }
                    }
                    Err(error) => {
                        if self.shared.now().since(began) < CRASH_WINDOW {
                            self.record_crash();
                        }
                        self.log_end(Outcome::Lost, status, &error.to_string());
                        // The error closes the connection; what was written is flushed before that.
                        tokio::task::yield_now().await;
                        yield Err(Aborted);
                        return;
                    }
                }
            }
            self.log_end(Outcome::Answered, status, "");
            if !response_head.closes {
                self.shared.connections.put(connection, response_head.idle_timeout);
            }
        };
        StreamBody::new(frames).boxed_unsync()
    }

    /// Records what the replica says of itself: it holds for this node, too.
    fn record_advice(&self, response_head: &ResponseHead) {
        self.shared
            .record_advice(&self.target.endpoint, &self.replica, response_head.advice);
    }

    fn record_crash(&self) {
        self.shared
            .record_crash(self.replica.incarnation_hash, &self.suspects);
    }

    fn fail(&self, outcome: Outcome, cause: String) -> Failure {
        self.log_end(outcome, StatusCode::BAD_GATEWAY, &cause);
        Failure::new(outcome, cause)
    }

    fn log_end(&self, outcome: Outcome, status: StatusCode, cause: &str) {
        log_end(
            &self.shared,
            &self.id,
            &self.target,
            outcome,
            status.as_u16(),
            cause,
            self.received,
        );
    }
}

fn log_end(
    shared: &Shared,
    id: &str,
    target: &Target,
    outcome: Outcome,
    status: u16,
    cause: &str,
    received: Millis,
) {
    let outcome = outcome.label();
    metrics::counter!("bilberrylatch_forwarded_total", "outcome" => outcome).increment(1);
    log::info!(id, sender:% = target.sender, endpoint:% = target.endpoint, replica:% = target.replica, outcome, status,
        cause, forwarded = shared.forwarded_requests(), took_ms = shared.now().since(received).0; "request forwarded");
}
