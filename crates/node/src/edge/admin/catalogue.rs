//! Reading and editing the catalogue.

use axum::Json;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use catalogue::{Catalogue, Head};
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

use crate::actor::members::{self, Propagation, TextRead};
use crate::edge::{Problem, auth};
use crate::platform::catalogue::{Rejected, commit, gossip_head};
use crate::shared::Shared;

/// Largest text that is taken, in bytes; it travels between nodes as one frame.
const TEXT_LIMIT_BYTES: usize = 3 * 1024 * 1024;

/// What an edit says of itself.
#[derive(Debug, Deserialize)]
pub struct Edit {
    /// Generation that the edit was made from.
    expected: u64,
    /// Id of the edit, drawn by the operator's tool.
    id: String,
    /// Who makes it.
    author: String,
}

/// Answer to an accepted edit.
#[derive(Debug, Serialize)]
struct Accepted {
    generation: u64,
}

/// Answer to an edit that came second.
#[derive(Debug, Serialize)]
struct Conflict {
    r#type: &'static str,
    detail: String,
    head: Head,
}

/// The catalogue in force at this node.
#[derive(Debug, Serialize)]
struct InForce {
    generation: u64,
    text: String,
}

/// `GET /v1/admin/catalogue`.
pub async fn show(State(shared): State<Shared>, fields: HeaderMap) -> Response {
    if let Err(problem) = auth::operator(&shared, &fields) {
        return problem.into_response();
    }
    let snapshot = shared.snapshot();
    Json(InForce {
        generation: snapshot.generation,
        text: snapshot.text.to_string(),
    })
    .into_response()
}

/// `GET /v1/admin/catalogue/status`.
pub async fn status(State(shared): State<Shared>, fields: HeaderMap) -> Response {
    if let Err(problem) = auth::operator(&shared, &fields) {
        return problem.into_response();
    }
    match shared.members.ask(Propagation).await {
        Ok(progress) => Json(progress).into_response(),
        Err(_stopped) => Problem::stopping().into_response(),
    }
}

/// `PUT /v1/admin/catalogue?expected=&id=&author=`.
pub async fn apply(
    State(shared): State<Shared>,
    Query(edit): Query<Edit>,
    fields: HeaderMap,
    text: String,
) -> Response {
    match try_apply(&shared, &edit, &fields, &text).await {
        Ok(generation) => Json(Accepted { generation }).into_response(),
        Err(response) => *response,
    }
}

async fn try_apply(
    shared: &Shared,
    edit: &Edit,
    fields: &HeaderMap,
    text: &str,
) -> Result<u64, Box<Response>> {
    auth::operator(shared, fields).map_err(boxed)?;
    if text.len() > TEXT_LIMIT_BYTES {
        let detail = format!(
            "the catalogue has {} bytes; the limit is {TEXT_LIMIT_BYTES}",
            text.len()
        );
        return Err(boxed(Problem::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "catalogue-too-large",
            detail,
        )));
    }
    Catalogue::parse(text).map_err(|findings| {
        boxed(Problem::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "catalogue-wrong",
            findings.to_string(),
        ))
    })?;
    let head = commit(&shared.store, text, edit.expected, &edit.id, &edit.author)
        .await
        .map_err(|cause| Box::new(rejected(cause)))?;
    let generation = head.generation_of(&edit.id).unwrap_or(head.generation);
    if let Some(head) = gossip_head(&head) {
        let _gone = shared.members.tell(members::HeadRead(head)).await;
        let _gone = shared
            .members
            .tell(TextRead(bytes::Bytes::copy_from_slice(text.as_bytes())))
            .await;
    }
    Ok(generation)
}

fn boxed(problem: Problem) -> Box<Response> {
    Box::new(problem.into_response())
}

fn rejected(rejected: Rejected) -> Response {
    const RETRY_AFTER: base::Millis = base::Millis::from_secs(2);
    match rejected {
        Rejected::Conflict(head) => {
            let last = head
                .edits
                .last()
                .map(|edit| edit.author.clone())
                .unwrap_or_default();
            let detail = format!(
                "generation {} by '{last}' came first; diff against it and apply again",
                head.generation
            );
            let conflict = Conflict {
                r#type: "catalogue-conflict",
                detail,
                head: *head,
            };
            (StatusCode::CONFLICT, Json(conflict)).into_response()
        }
        Rejected::Indeterminate(cause) => {
            let detail = format!("the edit may have been accepted; apply again with the same id: {cause}");
            let problem = Problem::new(StatusCode::GATEWAY_TIMEOUT, "edit-unsettled", detail)
                .with_outcome(base::Outcome::Unknown)
                .with_retry_after(RETRY_AFTER);
            problem.into_response()
        }
        Rejected::Unavailable(cause) => {
            let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "platform-unavailable", cause)
                .with_retry_after(RETRY_AFTER);
            problem.into_response()
        }
    }
}
