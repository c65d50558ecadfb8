//! One sending of a request to one replica.

use std::time::Duration;

use base::Millis;
use http::{HeaderMap, StatusCode};
use reqwest::Response;
use route::failure::{Failure, Kind};

use super::{Answer, Export, Outgoing, header};
use crate::actor::traffic::Target;
use crate::shared::Shared;

/// Largest answer that is read into memory, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Value of the outcome field by which a replica says that it did not run the request.
const NOT_RUN: &str = "not-run";

/// Sends the request; answers once the head of a matching answer is there.
///
/// `import` is the KV cache that the replica before exported, for a stream that goes on here.
pub async fn send(
    shared: &Shared,
    outgoing: &Outgoing,
    target: &Target,
    import: Option<&Export>,
) -> Result<Response, Failure> {
    let dispatch = header::dispatch(shared.incarnation, target.dispatch);
    let url = format!("{}{}", target.url, outgoing.path);
    let mut request = shared
        .http
        .request(outgoing.method.clone(), url)
        .headers(outgoing.fields.clone())
        .header(header::DISPATCH, &dispatch)
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
    check(&response, &dispatch, outgoing.idempotent)?;
    Ok(response)
}

/// Reads a whole answer.
pub async fn read(response: Response, target: &Target, idle: Duration) -> Result<Answer, Failure> {
    let status = response.status();
    let fields = header::caller_fields(response.headers());
    let body = tokio::time::timeout(idle, collect(response)).await;
    let body = body.map_err(|_elapsed| Failure::new(Kind::Timeout, true))??;
    Ok(Answer {
        status,
        fields,
        body,
        version: Some(target.version.clone()),
    })
}

/// The body, if it is whole and not too large. A body cut short is an error of the library.
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

/// Turns away answers to other dispatches, and for idempotent requests those that another replica may better.
fn check(response: &Response, dispatch: &str, idempotent: bool) -> Result<(), Failure> {
    let fields = response.headers();
    if header::text(fields, &header::DISPATCH).as_deref() != Some(dispatch) {
        metrics::counter!("bilberrylatch_answers_mismatched_total").increment(1);
        return Err(Failure::new(Kind::Mismatch, true));
    }
    let not_run = header::text(fields, &header::OUTCOME).as_deref() == Some(NOT_RUN);
    let busy = matches!(
        response.status(),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    if busy && not_run {
        return Err(with_retry_after(Failure::new(Kind::Rejected, false), fields));
    }
    // NB: without that field, a server error may come after the request ran.
    let server_error = matches!(
        response.status(),
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    );
    if idempotent && server_error {
        return Err(with_retry_after(Failure::new(Kind::ServerError, true), fields));
    }
    Ok(())
}

fn with_retry_after(failure: Failure, fields: &HeaderMap) -> Failure {
    let seconds = header::text(fields, &http::header::RETRY_AFTER).and_then(|text| text.parse().ok());
    match seconds {
        Some(seconds) => failure.with_retry_after(Millis::from_secs(seconds)),
        None => failure,
    }
}
