//! HTTP routes and their handlers.

use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::{ConnectInfo, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use http::{HeaderMap, Method, StatusCode, Uri};
use serde::Deserialize;

use super::Run;
use super::shared::Shared;
use crate::fault::{Corruption, Faults, Plan};
use crate::net::Peer;
use crate::replica::{Buffered, Echo, Failed, Load, Order, Orders};

/// Builds the router with the shared state.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/load", get(load))
        .route("/v1/orders", post(order))
        .route("/admin/runs", get(runs))
        .route("/admin/orders", get(orders))
        .route("/admin/faults", get(faults).put(set_faults))
        .route("/admin/{*path}", any(unknown_admin_path))
        .fallback(serve)
        .with_state(shared)
}

async fn serve(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(peer): ConnectInfo<Peer>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let echo = Echo::new(&headers, shared.version());
    let run = Run::new(method.as_str(), uri.path(), &echo);
    let _guard = shared.injector.track();
    shared.publish_load();
    let plan = shared.injector.plan(&run.version, &run.path);
    let response = respond(&shared, &peer, &plan, echo, run, &body).await;
    shared.publish_load();
    response
}

async fn respond(shared: &Shared, peer: &Peer, plan: &Plan, echo: Echo, run: Run, body: &Bytes) -> Response {
    tokio::time::sleep(plan.delay).await;
    shared.injector.wait_until_unfrozen().await;
    if let Some(failure) = plan.failure_before_run {
        return Failed {
            failure,
            echo: &echo,
            plan,
        }
        .respond(peer);
    }
    let Some(body) = execute(shared, run, body).await else {
        return (StatusCode::BAD_REQUEST, "a top-up takes an account and an amount").into_response();
    };
    tokio::time::sleep(plan.response_delay).await;
    shared.injector.wait_until_unfrozen().await;
    if let Some(failure) = plan.failure_after_run {
        return Failed {
            failure,
            echo: &echo,
            plan,
        }
        .respond(peer);
    }
    let answer = Buffered { echo, body };
    let previous = shared.lock().previous.replace(answer.clone());
    let crossed = previous.filter(|_| plan.corruption == Some(Corruption::Crossed));
    crossed.unwrap_or(answer).respond(plan, peer)
}

async fn execute(shared: &Shared, run: Run, body: &Bytes) -> Option<Bytes> {
    let _slot = shared.slots.acquire().await.ok()?;
    tokio::time::sleep(shared.work_time.as_duration()).await;
    shared.injector.wait_until_unfrozen().await;
    shared.lock().ledger.run(run, body)
}

/// Responds to unknown admin routes, so that they do not reach the fallback and count as runs.
async fn unknown_admin_path() -> StatusCode {
    StatusCode::NOT_FOUND
}

async fn load(State(shared): State<Arc<Shared>>) -> Json<Load> {
    Json(shared.report())
}

async fn order(State(shared): State<Arc<Shared>>, Json(order): Json<Order>) -> StatusCode {
    if shared.order(order) {
        StatusCode::ACCEPTED
    } else {
        StatusCode::CONFLICT
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Cursor {
    after: u64,
}

async fn runs(State(shared): State<Arc<Shared>>, Query(query): Query<Cursor>) -> Json<Vec<Run>> {
    Json(shared.lock().ledger.runs(query.after).to_vec())
}

async fn orders(State(shared): State<Arc<Shared>>) -> Json<Orders> {
    Json(shared.lock().orders.clone())
}

async fn faults(State(shared): State<Arc<Shared>>) -> Json<Faults> {
    Json(shared.injector.faults())
}

async fn set_faults(State(shared): State<Arc<Shared>>, Json(faults): Json<Faults>) -> StatusCode {
    shared.injector.set_faults(faults);
    StatusCode::NO_CONTENT
}
