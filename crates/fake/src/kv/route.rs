//! HTTP routes and their handlers.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{ConnectInfo, DefaultBodyLimit, Path, Query, Request, State};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use base::Millis;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::page::{self, Page};
use super::shared::Shared;
use super::store::{Condition, Refusal, Write};
use super::{Counts, Faults, Record, watch};
use crate::header;
use crate::net::Peer;

/// Maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum number of records in a page if the request sets no limit.
const DEFAULT_PAGE_LIMIT: usize = 1_000;

/// Builds the router with the shared state.
pub fn router(shared: Arc<Shared>) -> Router {
    let public = Router::new()
        .route("/v1/kv", get(list))
        .route("/v1/kv/{*key}", get(read).put(write).delete(delete))
        .route("/v1/leases", post(grant_lease))
        .route("/v1/leases/{id}", put(renew_lease).delete(revoke_lease))
        .route("/v1/watch", get(watch::watch))
        .layer(DefaultBodyLimit::max(MAX_VALUE_BYTES))
        .layer(middleware::from_fn_with_state(Arc::clone(&shared), inject_faults));
    let admin = Router::new()
        .route("/admin/counts", get(counts))
        .route("/admin/faults", get(faults).put(set_faults));
    public.merge(admin).with_state(shared)
}

/// Middleware that counts each call and applies the active faults.
async fn inject_faults(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(peer): ConnectInfo<Peer>,
    request: Request,
    next: Next,
) -> Response {
    let admitted = admit(&shared, &request);
    let faults = shared.lock().faults.clone();
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if let Some(outage) = faults.outage {
        return outage.respond(&peer).await;
    }
    if !admitted {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let is_write = request.method() != Method::GET;
    let response = next.run(request).await;
    if !is_write {
        return response;
    }
    shared.written.notify_waiters();
    if !loses_answer(&shared) {
        return response;
    }
    tokio::time::sleep(Duration::from_millis(faults.lose_hold_ms)).await;
    peer.reset()
}

fn admit(shared: &Shared, request: &Request) -> bool {
    let now = shared.now();
    let mut state = shared.lock();
    let state = &mut *state;
    let path = request.uri().path();
    let counts = &mut state.counts;
    if path == "/v1/watch" {
        counts.watches += 1;
        return true;
    }
    let count = match *request.method() {
        _ if path.starts_with("/v1/leases") => &mut counts.leases,
        Method::GET if path == "/v1/kv" => &mut counts.lists,
        Method::GET => &mut counts.reads,
        Method::DELETE => &mut counts.deletes,
        _ => &mut counts.writes,
    };
    *count += 1;
    let admitted = if request.method() == Method::GET {
        state.read_limiter.admit(now, state.faults.reads_per_s)
    } else {
        state.write_limiter.admit(now, state.faults.writes_per_s)
    };
    counts.limited += u64::from(!admitted);
    admitted
}

fn loses_answer(shared: &Shared) -> bool {
    let mut state = shared.lock();
    let state = &mut *state;
    state.faults.lose_answer.fires(&mut state.rng)
}

#[derive(Debug, Deserialize)]
#[serde(default)]
struct ListQuery {
    prefix: String,
    after: String,
    limit: usize,
}

impl Default for ListQuery {
    fn default() -> Self {
        Self {
            prefix: String::new(),
            after: String::new(),
            limit: DEFAULT_PAGE_LIMIT,
        }
    }
}

async fn list(State(shared): State<Arc<Shared>>, Query(query): Query<ListQuery>) -> Response {
    let state = shared.lock();
    let page = state.store.list(&query.prefix, &query.after, query.limit);
    page_response(&page)
}

/// Converts a page to a response.
pub fn page_response(page: &Page) -> Response {
    let headers = [("content-type", page::MEDIA_TYPE)];
    (headers, page.encode()).into_response()
}

async fn read(State(shared): State<Arc<Shared>>, Path(key): Path<String>) -> Response {
    let state = shared.lock();
    match state.store.get(&key) {
        Some(record) => record_response(record),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn record_response(record: &Record) -> Response {
    let mut response = record.value.clone().into_response();
    let headers = response.headers_mut();
    insert(headers, "etag", &etag(record.revision));
    for (name, value) in [
        (header::LEASE, &record.lease),
        (header::WRITE_ID, &record.write_id),
    ] {
        if let Some(value) = value {
            insert(headers, name, value);
        }
    }
    response
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    // Stored values were read from headers, so they are valid header values.
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

fn etag(revision: u64) -> String {
    format!("\"{revision}\"")
}

async fn write(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    value: Bytes,
) -> Response {
    let Some(condition) = condition(&headers) else {
        return (
            StatusCode::BAD_REQUEST,
            "If-Match takes \"revision\", If-None-Match takes *",
        )
            .into_response();
    };
    let write = Write {
        value,
        lease: header_text(&headers, header::LEASE),
        write_id: header_text(&headers, header::WRITE_ID),
    };
    let written = shared.lock().store.put(&key, condition, write);
    written_response(written, StatusCode::OK)
}

async fn delete(State(shared): State<Arc<Shared>>, Path(key): Path<String>, headers: HeaderMap) -> Response {
    let Some(condition) = condition(&headers) else {
        return (StatusCode::BAD_REQUEST, "If-Match takes \"revision\"").into_response();
    };
    let deleted = shared.lock().store.delete(&key, condition);
    written_response(deleted, StatusCode::NO_CONTENT)
}

fn written_response(written: Result<u64, Refusal>, status: StatusCode) -> Response {
    match written {
        Ok(revision) => (
            status,
            [("etag", etag(revision)), (header::REVISION, revision.to_string())],
        )
            .into_response(),
        Err(Refusal::Mismatch(Some(current))) => {
            (StatusCode::PRECONDITION_FAILED, [("etag", etag(current))]).into_response()
        }
        Err(Refusal::Mismatch(None)) => StatusCode::PRECONDITION_FAILED.into_response(),
        Err(Refusal::LeaseExpired) => {
            (StatusCode::CONFLICT, "the lease is unknown or has lapsed").into_response()
        }
        Err(Refusal::Missing) => StatusCode::NOT_FOUND.into_response(),
    }
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    if let Some(tag) = header_text(headers, "if-match") {
        let revision = tag.strip_prefix('"')?.strip_suffix('"')?;
        return revision.parse().ok().map(Condition::Revision);
    }
    match header_text(headers, "if-none-match").as_deref() {
        None => Some(Condition::Any),
        Some("*") => Some(Condition::Absent),
        Some(_) => None,
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

#[derive(Debug, Deserialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

#[derive(Debug, Serialize)]
struct LeaseResponse {
    id: String,
}

async fn grant_lease(
    State(shared): State<Arc<Shared>>,
    Json(request): Json<LeaseRequest>,
) -> Json<LeaseResponse> {
    let now = shared.now();
    let id = shared.lock().store.grant_lease(now, Millis(request.ttl_ms));
    Json(LeaseResponse { id })
}

async fn renew_lease(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> StatusCode {
    let now = shared.now();
    let mut state = shared.lock();
    state.store.expire_leases(now);
    no_content_if(state.store.renew_lease(now, &id))
}

async fn revoke_lease(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> StatusCode {
    no_content_if(shared.lock().store.revoke_lease(&id))
}

fn no_content_if(found: bool) -> StatusCode {
    if found {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
}

async fn counts(State(shared): State<Arc<Shared>>) -> Json<Counts> {
    Json(shared.lock().counts)
}

async fn faults(State(shared): State<Arc<Shared>>) -> Json<Faults> {
    Json(shared.lock().faults.clone())
}

async fn set_faults(State(shared): State<Arc<Shared>>, Json(faults): Json<Faults>) -> StatusCode {
    shared.set_faults(faults);
    StatusCode::NO_CONTENT
}
