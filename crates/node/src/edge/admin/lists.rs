//! Handlers that list nodes and replicas.

use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use http::HeaderMap;

use crate::actor::members::Nodes;
use crate::actor::traffic::Status;
use crate::edge::{Problem, auth};
use crate::shared::Shared;

/// `GET /v1/admin/nodes`.
pub async fn nodes(State(shared): State<Shared>, headers: HeaderMap) -> Response {
    if let Err(problem) = auth::operator(&shared, &headers) {
        return problem.into_response();
    }
    match shared.members.ask(Nodes).await {
        Ok(nodes) => Json(nodes).into_response(),
        Err(_stopped) => Problem::stopping().into_response(),
    }
}

/// `GET /v1/admin/replicas`.
pub async fn replicas(State(shared): State<Shared>, headers: HeaderMap) -> Response {
    if let Err(problem) = auth::operator(&shared, &headers) {
        return problem.into_response();
    }
    match shared.traffic.ask(Status).await {
        Ok(replicas) => Json(replicas).into_response(),
        Err(_stopped) => Problem::stopping().into_response(),
    }
}
