//! Handler for requests of callers to endpoints.

use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::response::{IntoResponse, Response};
use base::Outcome;
use http::{HeaderValue, StatusCode};

use super::{Problem, admission, keyed, streamed};
use crate::dispatch::header::{OUTCOME, REQUEST_ID, VERSION, value};
use crate::dispatch::{Answer, Driver, End, Outgoing};
use crate::shared::Shared;

/// `ANY /v1/endpoints/{endpoint}/{path}`.
pub async fn handle(
    State(shared): State<Shared>,
    Path((endpoint, path)): Path<(String, String)>,
    request: Request,
) -> Response {
    let path = format!("/{path}");
    let outgoing = match admission::admit(&shared, &endpoint, &path, request).await {
        Ok(outgoing) => outgoing,
        Err(problem) => return problem.into_response(),
    };
    let request_id = outgoing.request_id.clone();
    log::debug!(request_id = request_id.as_str(), endpoint = endpoint.as_str(); "request admitted");
    let mut response = serve(&shared, outgoing).await;
    response.headers_mut().insert(REQUEST_ID, value(&request_id));
    response
}

async fn serve(shared: &Shared, outgoing: Outgoing) -> Response {
    match (outgoing.idempotent, outgoing.stream) {
        (false, _) => keyed::serve(shared, outgoing).await,
        (true, true) => streamed::serve(shared, outgoing).await,
        (true, false) => serve_whole(shared, outgoing).await,
    }
}

/// Serves an idempotent request whose answer is not streamed.
async fn serve_whole(shared: &Shared, outgoing: Outgoing) -> Response {
    let Some(driver) = Driver::start(shared.clone(), outgoing).await else {
        return Problem::stopping().into_response();
    };
    match driver.spawn().await {
        Ok(End::Answered(answer)) => response(answer),
        Ok(End::Refused(refusal)) => Problem::from_refusal(refusal).into_response(),
        Ok(End::Streamed | End::CallerGone | End::Broken) | Err(_) => {
            node_failed(Outcome::Unknown).into_response()
        }
    }
}

/// Converts an answer to the response to the caller.
pub fn response(answer: Answer) -> Response {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Answered.as_str()));
    if let Some(version) = answer.version {
        headers.insert(VERSION, value(version.as_str()));
    }
    response
}

/// Refusal of a request during which this node failed.
pub fn node_failed(outcome: Outcome) -> Problem {
    Problem::new(
        StatusCode::BAD_GATEWAY,
        "node-failed",
        "this node failed in the middle of the request",
    )
    .with_outcome(outcome)
    .counted()
}
