//! Admission of HTTP requests: authentication, lookup in the catalogue and limits.

use std::time::Duration;

use axum::body::Body;
use base::{Millis, Name, Outcome};
use bytes::Bytes;
use catalogue::{Limits, Route};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use route::arrival::Priority;

use super::{Problem, auth};
use crate::dispatch::{Outgoing, header};
use crate::lifecycle::Phase;
use crate::shared::Shared;

/// Entries of the catalogue that apply to a request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Limits of the endpoint.
    pub limits: Limits,
    /// Matched route.
    pub route: Route,
    /// Workspace of the caller.
    pub workspace: Name,
}

/// Authenticates and admits a request, and reads its body up to the limit.
pub async fn admit(
    shared: &Shared,
    endpoint: &str,
    path: &str,
    request: Request<Body>,
) -> Result<Outgoing, Problem> {
    let (parts, body) = request.into_parts();
    let has_key = parts.headers.contains_key(header::IDEMPOTENCY_KEY);
    let admitted = admit_parts(shared, endpoint, path, parts, body).await;
    // NB: a request with a key may repeat one that has run, and at this point the key has not been looked up.
    // Its outcome is therefore unknown.
    admitted.map_err(|problem| {
        if has_key {
            problem.with_outcome(Outcome::Unknown)
        } else {
            problem
        }
    })
}

async fn admit_parts(
    shared: &Shared,
    endpoint: &str,
    path: &str,
    parts: http::request::Parts,
    body: Body,
) -> Result<Outgoing, Problem> {
    if shared.lifecycle.phase() > Phase::Serving {
        return Err(Problem::stopping().counted());
    }
    check_serving(shared)?;
    let workspace = auth::workspace(shared, &parts.headers)?;
    let admitted = look_up(shared, endpoint, workspace, &parts.method, path)?;
    let limit = admitted.limits.body_bytes as usize;
    let body = read(body, limit).await?;
    let query = parts
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    outgoing(
        shared,
        admitted,
        parts.method,
        format!("{path}{query}"),
        &parts.headers,
        body,
    )
}

/// Refuses new work while this node's configuration may be outdated.
pub fn check_serving(shared: &Shared) -> Result<(), Problem> {
    const RETRY_AFTER: Millis = Millis(500);
    let serving = shared.serving.borrow().at(shared.clock.now());
    match serving {
        Ok(_generation) => Ok(()),
        Err(refusal) => Err(Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "node-behind",
            refusal.to_string(),
        )
        .with_retry_after(RETRY_AFTER)
        .counted()),
    }
}

fn look_up(
    shared: &Shared,
    endpoint: &str,
    workspace: Name,
    method: &Method,
    path: &str,
) -> Result<Admitted, Problem> {
    let snapshot = shared.snapshot();
    let catalogue = snapshot.catalogue.as_ref().ok_or_else(auth::no_catalogue)?;
    let Some(entry) = catalogue.endpoint(endpoint) else {
        let detail = format!("endpoint '{endpoint}' is not in the catalogue");
        return Err(Problem::new(StatusCode::NOT_FOUND, "no-endpoint", detail).counted());
    };
    if entry.share(workspace.as_str()).is_none() {
        let detail = format!("workspace '{workspace}' has no share of endpoint '{endpoint}'");
        return Err(Problem::new(StatusCode::FORBIDDEN, "no-share", detail).counted());
    }
    let Some(route) = entry.route(method.as_str(), path) else {
        let detail = format!("endpoint '{endpoint}' has no route for {method} {path}");
        return Err(Problem::new(StatusCode::NOT_FOUND, "no-route", detail).counted());
    };
    Ok(Admitted {
        endpoint: entry.name.clone(),
        limits: entry.limits,
        route: route.clone(),
        workspace,
    })
}

async fn read(body: Body, limit: usize) -> Result<Bytes, Problem> {
    axum::body::to_bytes(body, limit).await.map_err(|_error| {
        let detail = format!("the body is cut short or over the endpoint's limit of {limit} bytes");
        Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail).counted()
    })
}

fn outgoing(
    shared: &Shared,
    admitted: Admitted,
    method: Method,
    path: String,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Outgoing, Problem> {
    let Admitted {
        endpoint,
        limits,
        route,
        workspace,
    } = admitted;
    let limit = Duration::from_millis(limits.timeout_ms);
    let timeout = match requested_timeout(headers)? {
        Some(requested) => requested.min(limit),
        None => limit,
    };
    if route.stream && !is_object(&body) {
        let detail = "a streaming route takes a JSON object as its body";
        return Err(Problem::new(StatusCode::BAD_REQUEST, "body-malformed", detail).counted());
    }
    let mut forwarded_headers = header::replica_headers(headers);
    if route.stream {
        // The body is known to be a JSON object, whatever content type the caller sent.
        forwarded_headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
    }
    Ok(Outgoing {
        request_id: request_id(headers),
        workspace,
        route: Name::new(format!("{} {}", route.method, route.path)),
        endpoint,
        method,
        path,
        headers: forwarded_headers,
        body,
        idempotent: route.idempotent,
        stream: route.stream,
        key: header::text(headers, &header::IDEMPOTENCY_KEY),
        forwarded: false,
        delivered: delivered(headers)?,
        priority: priority(headers)?,
        deadline: shared.clock.now() + Millis(timeout.as_millis() as u64),
        idle: timeout,
    })
}

fn is_object(body: &[u8]) -> bool {
    matches!(serde_json::from_slice(body), Ok(serde_json::Value::Object(_)))
}

/// The request id sent by the caller if it is valid, otherwise a new one.
fn request_id(headers: &HeaderMap) -> String {
    const MAX_BYTES: usize = 64;
    let from_caller = header::text(headers, &header::REQUEST_ID);
    let usable = |id: &String| {
        id.len() <= MAX_BYTES
            && id
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
    };
    from_caller
        .filter(usable)
        .unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string())
}

fn requested_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    number(headers, &header::TIMEOUT_MS).map(|millis| millis.map(Duration::from_millis))
}

/// Number of tokens received by a caller that resumes: the index of the last one plus one.
fn delivered(headers: &HeaderMap) -> Result<u32, Problem> {
    let last = number(headers, &header::LAST_EVENT_ID)?;
    Ok(last.map_or(0, |last| last.saturating_add(1).min(u64::from(u32::MAX)) as u32))
}

fn number(headers: &HeaderMap, name: &http::HeaderName) -> Result<Option<u64>, Problem> {
    let Some(text) = header::text(headers, name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_invalid| {
        let detail = format!("header '{name}': '{text}' is not a whole number");
        Problem::new(StatusCode::BAD_REQUEST, "header-malformed", detail).counted()
    })
}

fn priority(headers: &HeaderMap) -> Result<Priority, Problem> {
    let Some(text) = header::text(headers, &header::PRIORITY) else {
        return Ok(Priority::Normal);
    };
    match text.as_str() {
        "interactive" => Ok(Priority::Interactive),
        "normal" => Ok(Priority::Normal),
        "batch" => Ok(Priority::Batch),
        _ => {
            let detail = format!(
                "header '{}': '{text}' is not interactive, normal or batch",
                header::PRIORITY
            );
            Err(Problem::new(StatusCode::BAD_REQUEST, "header-malformed", detail).counted())
        }
    }
}
