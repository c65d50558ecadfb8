//! A single attempt to send a request to a replica.

use std::time::Duration;

use base::Millis;
use http::{HeaderMap, StatusCode};
use reqwest::Response;
use route::failure::{Failure, Kind};

use super::{Answer, Export, Outgoing, header};
use crate::actor::traffic::Target;
use crate::shared::Shared;

/// Maximum size of an answer that is read into memory.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Value of the outcome header with which a replica reports that it did not run the request.
const NOT_RUN: &str = "not-run";

/// Sends the request and returns once the head of a matching answer has arrived.
///
/// `import` is the KV cache exported by the previous replica, if this one continues its stream.
pub async fn send(
    shared: &Shared,
    outgoing: &Outgoing,
    target: &Target,
    import: Option<&Export>,
) -> Result<Response, Failure> {
    let dispatch_id = header::dispatch_id(shared.incarnation, target.dispatch);
    let url = format!("{}{}", target.url, outgoing.path);
    let mut request = shared
        .http
        .request(outgoing.method.clone(), url)
        .headers(outgoing.headers.clone())
        .header(header::DISPATCH, &dispatch_id)
        .header(header::REQUEST_ID, &outgoing.request_id)
        .header(header::WORKSPACE, outgoing.workspace.as_str())
        .body(outgoing.body_after(target.delivered, import));
    if let Some(key) = &outgoing.key {
        request = request.header(header::KEY, key);
    }
    let result = tokio::time::timeout(outgoing.idle, request.send()).await;
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(classify(&error)),
        Err(_elapsed) => return Err(Failure::new(Kind::Timeout, true)),
    };
    check(&response, &dispatch_id, outgoing.idempotent)?;
    Ok(response)
}

/// Reads a complete answer.
pub async fn read(response: Response, target: &Target, idle: Duration) -> Result<Answer, Failure> {
    let status = response.status();
    let headers = header::caller_headers(response.headers());
    let body = tokio::time::timeout(idle, collect(response)).await;
    let body = body.map_err(|_elapsed| Failure::new(Kind::Timeout, true))??;
    Ok(Answer {
        status,
        headers,
        body,
        version: Some(target.version.clone()),
    })
}

/// Reads the body up to the size limit. The HTTP library reports a truncated body as an error.
async fn collect(mut response: Response) -> Result<bytes::Bytes, Failure> {
    let mut body = bytes::BytesMut::new();
    loop {
        let chunk = response.chunk().await.map_err(|error| classify(&error))?;
        let Some(chunk) = chunk else {
            return Ok(body.freeze());
        };
        if body.len() + chunk.len() > ANSWER_LIMIT_BYTES {
            return Err(Failure::new(Kind::Mismatch, true));
        }
        body.extend_from_slice(&chunk);
    }
}

fn classify(error: &reqwest::Error) -> Failure {
    if error.is_connect() {
        let kind = if error.is_timeout() {
            Kind::Connect
        } else {
            Kind::Refused
        };
        return Failure::new(kind, false);
    }
    if error.is_timeout() {
        return Failure::new(Kind::Timeout, true);
    }
    Failure::new(Kind::Reset, true)
}

/// Rejects answers to other dispatches, answers of busy replicas that did not run the request, and server
/// errors to idempotent requests, which another replica may answer.
fn check(response: &Response, dispatch_id: &str, idempotent: bool) -> Result<(), Failure> {
    let headers = response.headers();
    if header::text(headers, &header::DISPATCH).as_deref() != Some(dispatch_id) {
        metrics::counter!("bilberrylatch_answers_mismatched_total").increment(1);
        return Err(Failure::new(Kind::Mismatch, true));
    }
    let not_run = header::text(headers, &header::OUTCOME).as_deref() == Some(NOT_RUN);
    let busy = matches!(
        response.status(),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    if busy && not_run {
        return Err(with_retry_after(Failure::new(Kind::Rejected, false), headers));
    }
    // NB: without that outcome header, the request may have run before the server error.
    let server_error = matches!(
        response.status(),
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    );
    if idempotent && server_error {
        return Err(with_retry_after(Failure::new(Kind::ServerError, true), headers));
    }
    Ok(())
}

fn with_retry_after(failure: Failure, headers: &HeaderMap) -> Failure {
    let seconds = header::text(headers, &http::header::RETRY_AFTER).and_then(|text| text.parse().ok());
    match seconds {
        Some(seconds) => failure.with_retry_after(Millis::from_secs(seconds)),
        None => failure,
    }
}
