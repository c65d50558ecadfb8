//! Responses that are read completely before they are sent to the caller.

use base::Millis;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use place::{DispatchError, DispatchOutcome, promises_not_run};
use tokio::time::timeout;

use super::attempt::{Failure, Reply};
use super::body::{self, Body};
use super::dispatch::Dispatch;
use super::inbound::strip_connection;

/// Maximum size of a response held in memory.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Reads the response. An incomplete response, a switch to another protocol and an error of the replica are failures.
pub(super) async fn read(dispatch: &Dispatch, reply: Reply) -> Result<Response<Body>, Failure> {
    let shared = &dispatch.shared;
    let Reply {
        mut in_flight,
        response_head,
        pending,
    } = reply;
    let (head, incoming) = pending.response.into_parts();
    if head.status.is_informational() {
        in_flight.end(DispatchOutcome::Failed);
        let cause = format!("response with {}", head.status);
        return Err(Failure::new(DispatchError::Lost, cause));
    }
    let left = dispatch.call.time_left(shared.now()).max(Millis(1));
    let collected = Limited::new(incoming, MAX_BODY_BYTES).collect();
    let bytes = match timeout(left.as_duration(), collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            in_flight.end(DispatchOutcome::Failed);
            return Err(Failure::new(DispatchError::Lost, error.to_string()));
        }
        Err(_elapsed) => {
            return Err(Failure {
                timed_out: true,
                ..Failure::new(DispatchError::Lost, "response body timed out")
            });
        }
    };
    if let Some(workspace) = dispatch.call.workspace() {
        shared.count_usage(&workspace.name, in_flight.sent());
    }
    let choice = in_flight.choice().clone();
    let status = head.status;
    // A server error says something about the replica, a caller's mistake does not.
    in_flight.begin();
    in_flight.end(if status.is_server_error() {
        DispatchOutcome::Failed
    } else {
        DispatchOutcome::Answered
    });
    if !response_head.closes {
        shared.connections.put(
            &choice.id,
            choice.address,
            pending.connection,
            response_head.idle_timeout,
        );
    }
    let response = build_response(status, head.headers, bytes);
    if status.is_server_error() || promises_not_run(status.as_u16()) {
        let error = DispatchError::Failed {
            status: status.as_u16(),
        };
        let forwarded = (!promises_not_run(status.as_u16())).then(|| Box::new(response));
        return Err(Failure {
            response: forwarded,
            ..Failure::new(error, format!("replica failed with {status}"))
        });
    }
    if status.is_success() && !response_head.signed {
        return Err(Failure::new(DispatchError::Lost, "response without signature"));
    }
    Ok(response)
}

fn build_response(status: StatusCode, mut headers: HeaderMap, bytes: bytes::Bytes) -> Response<Body> {
    strip_connection(&mut headers);
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
