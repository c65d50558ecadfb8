//! Handler for the numbers of idempotency keys on this node.

use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use http::HeaderMap;

use crate::actor::claims::CountKeys;
use crate::edge::{Problem, auth};
use crate::shared::Shared;

/// `GET /v1/admin/keys`.
pub async fn show(State(shared): State<Shared>, headers: HeaderMap) -> Response {
    if let Err(problem) = auth::operator(&shared, &headers) {
        return problem.into_response();
    }
    match shared.claims.ask(CountKeys).await {
        Ok(counts) => Json(counts).into_response(),
        Err(_ended) => Problem::stopping().into_response(),
    }
}
