//! HTTP routes and their handlers.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{ConnectInfo, Path, Query, State};
use axum::response::sse::Sse;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use http::{HeaderMap, StatusCode};
use serde::Deserialize;

use super::Event;
use super::completion::Completion;
use super::model::{Counts, Prompt, Sequence, prompt};
use super::reply::Reply;
use super::shared::Shared;
use super::stream::{self, Generation};
use crate::fault::{Corruption, Faults, Plan};
use crate::net::Peer;
use crate::replica::{Buffered, Echo, Failed, Load, Order, Orders, Run};

/// Path of completions.
const COMPLETIONS: &str = "/v1/completions";

/// Builds the router with the shared state.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route(COMPLETIONS, post(complete))
        .route("/v1/cancel/{dispatch}", post(cancel))
        .route("/v1/kv/export", post(export))
        .route("/v1/load", get(load))
        .route("/v1/events", get(events))
        .route("/v1/orders", post(order))
        .route("/admin/counts", get(counts))
        .route("/admin/runs", get(runs))
        .route("/admin/orders", get(orders))
        .route("/admin/faults", get(faults).put(set_faults))
        .with_state(shared)
}

async fn complete(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(peer): ConnectInfo<Peer>,
    headers: HeaderMap,
    Json(completion): Json<Completion>,
) -> Response {
    let echo = Echo::new(&headers, shared.version());
    let reply = Reply::new(echo, &completion);
    let guard = shared.injector.track();
    let plan = shared.injector.plan(&reply.echo.version, COMPLETIONS);
    tokio::time::sleep(plan.delay).await;
    shared.injector.wait_until_unfrozen().await;
    let echo = &reply.echo.clone();
    let failed = |failure| Failed {
        failure,
        echo,
        plan: &plan,
    };
    if let Some(failure) = plan.failure_before_run {
        return failed(failure).respond(&peer);
    }
    let mut generation = start(&shared, &reply, &completion).with_guard(guard);
    let buffered = !completion.stream || plan.failure_after_run.is_some();
    if buffered && !generation.wait_until_done().await {
        return peer.reset();
    }
    tokio::time::sleep(plan.response_delay).await;
    if let Some(failure) = plan.failure_after_run {
        return failed(failure).respond(&peer);
    }
    let previous = shared.lock().previous.replace(reply.clone());
    let reply = previous
        .filter(|_| plan.corruption == Some(Corruption::Crossed))
        .unwrap_or(reply);
    if completion.stream {
        return stream_response(generation, reply, &plan, peer);
    }
    text_response(reply, &plan, &peer)
}

fn start(shared: &Arc<Shared>, reply: &Reply, completion: &Completion) -> Generation {
    let run = Run::new("POST", COMPLETIONS, &reply.echo);
    shared.lock().record(run);
    let imported = completion.import.as_ref();
    let imported = imported.filter(|export| export.prompt == prompt::hash(completion.prompt.as_bytes()));
    let sequence = Sequence {
        id: 0,
        prompt: Prompt::new(completion.prompt.as_bytes()),
        resume_from: completion.resume_from,
        max_tokens: completion.max_tokens,
        priority: completion.priority,
        imported: imported.map_or(0, |export| export.tokens),
    };
    shared.submit(reply, sequence)
}

fn stream_response(generation: Generation, reply: Reply, plan: &Plan, peer: Peer) -> Response {
    let echo = reply.echo.clone();
    let events = stream::events(generation, reply, plan.corruption, peer);
    let mut response = Sse::new(events).into_response();
    echo.apply(plan, response.headers_mut());
    response
}

fn text_response(reply: Reply, plan: &Plan, peer: &Peer) -> Response {
    let body = serde_json::to_vec(&reply.to_text()).unwrap_or_default();
    let buffered = Buffered {
        echo: reply.echo,
        body: body.into(),
    };
    buffered.respond(plan, peer)
}

async fn cancel(State(shared): State<Arc<Shared>>, Path(dispatch): Path<String>) -> StatusCode {
    let dispatch = shared.lock().dispatches.get(&dispatch).copied();
    match dispatch {
        Some(dispatch) if shared.cancel(dispatch.id) => StatusCode::NO_CONTENT,
        _ => StatusCode::NOT_FOUND,
    }
}

#[derive(Debug, Deserialize)]
struct ExportRequest {
    dispatch: String,
}

async fn export(State(shared): State<Arc<Shared>>, Json(request): Json<ExportRequest>) -> Response {
    let Some(export) = shared.lock().export(&request.dispatch) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let export_us = shared.lock().engine.config().export_us;
    let export_time = Duration::from_micros(export_us * u64::from(export.tokens));
    tokio::time::sleep(export_time).await;
    Json(export).into_response()
}

async fn load(State(shared): State<Arc<Shared>>) -> Json<Load> {
    Json(shared.report())
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Cursor {
    after: u64,
}

async fn events(State(shared): State<Arc<Shared>>, Query(query): Query<Cursor>) -> Json<Vec<Event>> {
    let now = shared.clock.now();
    Json(shared.lock().log.after(now, query.after))
}

async fn order(State(shared): State<Arc<Shared>>, Json(order): Json<Order>) -> StatusCode {
    if shared.order(order) {
        StatusCode::ACCEPTED
    } else {
        StatusCode::CONFLICT
    }
}

async fn counts(State(shared): State<Arc<Shared>>) -> Json<Counts> {
    Json(shared.lock().engine.counts())
}

async fn runs(State(shared): State<Arc<Shared>>, Query(query): Query<Cursor>) -> Json<Vec<Run>> {
    let state = shared.lock();
    let later = state.runs.get(query.after as usize..);
    Json(later.unwrap_or_default().to_vec())
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
