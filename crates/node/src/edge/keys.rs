//! Handler that issues idempotency keys.

use axum::Json;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use base::Name;
use http::{HeaderMap, StatusCode};
use serde::Serialize;

use super::{Problem, admission, auth, keyed};
use crate::lifecycle::Phase;
use crate::shared::Shared;

/// Body of the answer.
#[derive(Debug, Serialize)]
struct Issued {
    key: String,
}

/// `POST /v1/endpoints/{endpoint}/keys`.
pub async fn handle(
    State(shared): State<Shared>,
    Path(endpoint): Path<String>,
    headers: HeaderMap,
) -> Response {
    match issue(&shared, &endpoint, &headers).await {
        Ok(key) => (StatusCode::CREATED, Json(Issued { key })).into_response(),
        Err(problem) => problem.into_response(),
    }
}

async fn issue(shared: &Shared, endpoint: &str, headers: &HeaderMap) -> Result<String, Problem> {
    if shared.lifecycle.phase() > Phase::Serving {
        return Err(Problem::stopping().counted());
    }
    admission::check_serving(shared)?;
    let workspace = auth::workspace(shared, headers)?;
    let snapshot = shared.snapshot();
    let entry = snapshot
        .catalogue
        .as_ref()
        .and_then(|catalogue| catalogue.endpoint(endpoint));
    if entry.is_none_or(|entry| entry.share(workspace.as_str()).is_none()) {
        let detail = format!("workspace '{workspace}' has no share of an endpoint '{endpoint}'");
        return Err(Problem::new(StatusCode::FORBIDDEN, "no-share", detail).counted());
    }
    let key = keyed::issue(shared, Name::new(endpoint), workspace).await?;
    Ok(key.to_string())
}
