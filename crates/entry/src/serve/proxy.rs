//! Handles a request from its arrival to its response.

use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;

use super::body::Body;
use super::dispatch::Dispatch;
use super::{Reason, admit, inbound, log};
use crate::Shared;
use crate::lifecycle::Phase;

/// Responds to a caller's request.
pub(super) async fn handle_request(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let received = shared.now();
    let _guard = shared.track_request();
    let (head, incoming) = request.into_parts();
    let path = head.uri.path().to_owned();
    // The body is read before anything else is refused, so that the connection can be used again.
    let limits = shared.caller_limits();
    let decoded = shared.edge.decode_request(&head);
    let timeout = decoded.as_ref().ok().and_then(|it| it.timeout);
    let deadline = received + inbound::max_body_time(&shared, &head, timeout, limits);
    let body = inbound::read_body(&shared, &head, incoming, limits, deadline).await;
    let request_head = match decoded {
        Ok(request_head) => request_head,
        Err(fault) => {
            ::log::info!(path, fault:% = fault; "invalid request head");
            log::refused(&shared, &[], &path, Reason::BadHead);
            return Reason::BadHead.response();
        }
    };
    let id = request_head.id.clone();
    if shared.lifecycle.phase() >= Phase::Ended {
        log::refused(&shared, &id, &path, Reason::Leaving);
        return Reason::Leaving.response();
    }
    let call = body.and_then(|body| admit::admit(&shared, head, request_head, body, received));
    match call {
        Ok(call) => Dispatch::new(shared, call).run().await,
        Err(reason) => {
            log::refused(&shared, &id, &path, reason);
            reason.response()
        }
    }
}
