//! HTTP routes and their handlers.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{ConnectInfo, Path, Query, Request, State};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post, put};
use axum::{Json, Router};
use base::Millis;
use http::StatusCode;
use serde::Deserialize;
use tokio::time::Instant;

use super::shared::Shared;
use super::{Faults, Notice, Start, Vm};
use crate::net::Peer;

/// Interval at which long polls check for notices whose lag has passed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Builds the router with the shared state.
pub fn router(shared: Arc<Shared>) -> Router {
    let public = Router::new()
        .route("/v1/vms", get(list).post(start))
        .route("/v1/vms/{id}", delete(stop))
        .route("/v1/notices", get(notices))
        .layer(middleware::from_fn_with_state(Arc::clone(&shared), inject_faults));
    let admin = Router::new()
        .route("/admin/vms/{id}", put(register).delete(stop))
        .route("/admin/vms/{id}/notice", post(issue_notice))
        .route("/admin/zones/{zone}/reclaim", post(reclaim))
        .route("/admin/faults", get(faults).put(set_faults));
    public.merge(admin).with_state(shared)
}

async fn inject_faults(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(peer): ConnectInfo<Peer>,
    request: Request,
    next: Next,
) -> Response {
    let faults = shared.lock().faults.clone();
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if let Some(outage) = faults.outage {
        return outage.respond(&peer).await;
    }
    next.run(request).await
}

async fn list(State(shared): State<Arc<Shared>>) -> Json<Vec<Vm>> {
    let now = shared.clock.now();
    Json(shared.lock().fleet.list(now))
}

async fn start(State(shared): State<Arc<Shared>>, Json(start): Json<Start>) -> Response {
    if let Some(status) = refusal(&shared, &start) {
        return status.into_response();
    }
    match shared.start(start).await {
        Ok(Some(vm)) => (StatusCode::CREATED, Json(vm)).into_response(),
        Ok(None) => (StatusCode::NOT_FOUND, "no VM can be started for this endpoint").into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

fn refusal(shared: &Shared, start: &Start) -> Option<StatusCode> {
    let state = shared.lock();
    let refusal = state
        .faults
        .refuse_starts
        .iter()
        .find(|refusal| refusal.matches(start))?;
    Some(StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE))
}

async fn stop(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> StatusCode {
    no_content_if(shared.remove(&id))
}

fn no_content_if(found: bool) -> StatusCode {
    if found {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct NoticeQuery {
    after: u64,
    timeout_ms: u64,
}

async fn notices(State(shared): State<Arc<Shared>>, Query(query): Query<NoticeQuery>) -> Json<Vec<Notice>> {
    let deadline = Instant::now() + Duration::from_millis(query.timeout_ms);
    loop {
        let notices = shared.notices(query.after);
        if !notices.is_empty() || Instant::now() >= deadline {
            return Json(notices);
        }
        let next_check = deadline.min(Instant::now() + POLL_INTERVAL);
        tokio::select! {
            () = shared.notice_issued.notified() => {}
            () = tokio::time::sleep_until(next_check) => {}
        }
    }
}

async fn register(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    Json(vm): Json<Vm>,
) -> StatusCode {
    let now = shared.clock.now();
    shared.lock().fleet.insert(now, Vm { id, ..vm });
    StatusCode::NO_CONTENT
}

#[derive(Debug, Deserialize)]
struct NoticeRequest {
    notice_ms: u64,
}

async fn issue_notice(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    Json(request): Json<NoticeRequest>,
) -> StatusCode {
    let now = shared.clock.now();
    let issued = shared
        .lock()
        .fleet
        .issue_notice(now, &id, Millis(request.notice_ms));
    shared.notice_issued.notify_waiters();
    no_content_if(issued)
}

async fn reclaim(
    State(shared): State<Arc<Shared>>,
    Path(zone): Path<String>,
    Json(request): Json<NoticeRequest>,
) -> StatusCode {
    let now = shared.clock.now();
    let mut state = shared.lock();
    let ids = state.fleet.reclaimable(&zone);
    for id in &ids {
        state.fleet.issue_notice(now, id, Millis(request.notice_ms));
    }
    drop(state);
    shared.notice_issued.notify_waiters();
    no_content_if(!ids.is_empty())
}

async fn faults(State(shared): State<Arc<Shared>>) -> Json<Faults> {
    Json(shared.lock().faults.clone())
}

async fn set_faults(State(shared): State<Arc<Shared>>, Json(faults): Json<Faults>) -> StatusCode {
    shared.set_faults(faults);
    StatusCode::NO_CONTENT
}
