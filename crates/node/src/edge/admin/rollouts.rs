//! Declaring, undoing and following rollouts.

use std::time::Duration;

use axum::Json;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use base::{Millis, Name};
use http::{HeaderMap, StatusCode};
use rollout::action::Refusal;
use rollout::plan::CANARY_SHARE;
use rollout::{Id, Plan};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::actor::members::Locate;
use crate::actor::rollouts::{Command, Reply};
use crate::edge::{Problem, auth};
use crate::platform::rollout::{read_rollout, wall_time};
use crate::shared::Shared;

/// Time for a declaration to take effect.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// When to ask again while no node controls the endpoint.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// A declaration as operators send it.
#[derive(Clone, Debug, Deserialize)]
pub struct Declaration {
    /// Id, drawn by the tool, so that a declaration whose answer was lost is not declared twice.
    id: Option<String>,
    /// The version to move to.
    to: Name,
    /// The version that serves now; the stable one of the catalogue if it is not given.
    from: Option<Name>,
    /// Time to move over, in seconds.
    within_seconds: u64,
    /// Time to watch the version at full share, in seconds.
    watch_seconds: u64,
    /// Who declares it.
    operator: Name,
}

/// An undo as operators send it.
#[derive(Clone, Debug, Deserialize)]
pub struct Undo {
    /// The rollout.
    id: String,
    /// Who asks.
    operator: Name,
}

/// Answer to a command that took effect.
#[derive(Debug, Serialize)]
struct Accepted {
    id: String,
}

/// Answer to a command that another node must take.
#[derive(Debug, Serialize)]
struct Rejection {
    detail: String,
    node: Option<String>,
}

/// `POST /v1/admin/rollouts/{endpoint}`.
pub async fn declare(
    State(shared): State<Shared>,
    Path(endpoint): Path<String>,
    fields: HeaderMap,
    Json(declaration): Json<Declaration>,
) -> Response {
    if let Err(problem) = auth::operator(&shared, &fields) {
        return problem.into_response();
    }
    match build_plan(&shared, &endpoint, declaration) {
        Ok(plan) => send_command(&shared, Command::Declare(Box::new(plan))).await,
        Err(problem) => problem.into_response(),
    }
}

/// `POST /v1/admin/rollouts/{endpoint}/undo`.
pub async fn undo(
    State(shared): State<Shared>,
    Path(endpoint): Path<String>,
    fields: HeaderMap,
    Json(undo): Json<Undo>,
) -> Response {
    if let Err(problem) = auth::operator(&shared, &fields) {
        return problem.into_response();
    }
    let Ok(rollout) = undo.id.parse::<Id>() else {
        let detail = format!("'{}' is no rollout's id; `rollout status` shows it", undo.id);
        return Problem::new(StatusCode::BAD_REQUEST, "id-malformed", detail).into_response();
    };
    let endpoint = Name::from(endpoint);
    send_command(
        &shared,
        Command::Undo {
            endpoint,
            rollout,
            operator: undo.operator,
        },
    )
    .await
}

/// `GET /v1/admin/rollouts/{endpoint}`: the record as it stands at the platform.
pub async fn status(
    State(shared): State<Shared>,
    Path(endpoint): Path<String>,
    fields: HeaderMap,
) -> Response {
    if let Err(problem) = auth::operator(&shared, &fields) {
        return problem.into_response();
    }
    match read_rollout(&shared, &Name::from(endpoint)).await {
        Ok(stored) => Json(stored).into_response(),
        Err(error) => Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "platform-unavailable",
            error.to_string(),
        )
        .with_retry_after(RETRY_AFTER)
        .into_response(),
    }
}

fn build_plan(shared: &Shared, endpoint: &str, declaration: Declaration) -> Result<Plan, Problem> {
    let invalid = |detail: String| Problem::new(StatusCode::UNPROCESSABLE_ENTITY, "rollout-wrong", detail);
    let snapshot = shared.snapshot();
    let catalogue = snapshot.catalogue.as_ref().ok_or_else(auth::no_catalogue)?;
    let entry = catalogue
        .endpoint(endpoint)
        .ok_or_else(|| invalid(format!("endpoint '{endpoint}' is not in the catalogue")))?;
    for version in [Some(&declaration.to), declaration.from.as_ref()]
        .into_iter()
        .flatten()
    {
        if !entry.versions.contains(version) {
            return Err(invalid(format!(
                "version '{version}' is not in the endpoint's 'versions'; add it first"
            )));
        }
    }
    let start = wall_time();
    let id = match &declaration.id {
        Some(text) => text
            .parse()
            .map_err(|_invalid| invalid(format!("'{text}' is no rollout's id")))?,
        None => Id::new(start, uuid::Uuid::new_v4().as_u64_pair().0),
    };
    Ok(Plan {
        id,
        endpoint: entry.name.clone(),
        from: declaration.from.unwrap_or_else(|| entry.stable.clone()),
        to: declaration.to,
        start,
        deadline: start.after(Millis::from_secs(declaration.within_seconds)),
        canary: CANARY_SHARE,
        watch: Millis::from_secs(declaration.watch_seconds),
        operator: declaration.operator,
    })
}

async fn send_command(shared: &Shared, command: Command) -> Response {
    let Ok(reply) = shared.rollouts.ask(command).await else {
        return Problem::stopping().into_response();
    };
    if let Ok(Ok(reply)) = timeout(COMMAND_TIMEOUT, reply).await {
        return answer(shared, reply).await;
    }
    let detail = "the command may have taken effect; repeat it with the same id";
    Problem::new(StatusCode::GATEWAY_TIMEOUT, "command-unsettled", detail)
        .with_outcome(base::Outcome::Unknown)
        .with_retry_after(RETRY_AFTER)
        .into_response()
}

async fn answer(shared: &Shared, reply: Reply) -> Response {
    match reply {
        Reply::Accepted(id) => Json(Accepted { id: id.to_string() }).into_response(),
        Reply::Refused(Refusal::NotController | Refusal::Busy) | Reply::NoController => {
            let detail =
                "no node controls this endpoint's rollouts at the moment; ask again with the same id";
            Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no-controller", detail)
                .with_retry_after(RETRY_AFTER)
                .into_response()
        }
        Reply::Refused(refusal) => {
            let rejection = Rejection {
                detail: explain(&refusal),
                node: None,
            };
            (StatusCode::CONFLICT, Json(rejection)).into_response()
        }
        Reply::OtherController(holder) => {
            let location = shared.members.ask(Locate(holder.node)).await.ok();
            let node = location
                .and_then(|location| location.caller)
                .map(|address| format!("http://{address}"));
            let detail = "another node controls this endpoint's rollouts".to_owned();
            (StatusCode::MISDIRECTED_REQUEST, Json(Rejection { detail, node })).into_response()
        }
    }
}

fn explain(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict { winner, operator } => {
            format!("rollout {winner} of '{operator}' is under way; wait for it or undo it")
        }
        Refusal::Unknown => "no such rollout is under way".to_owned(),
        Refusal::Ended(verdict) => format!("the rollout has ended already: {verdict:?}"),
        Refusal::NotController | Refusal::Busy => "ask again".to_owned(),
        Refusal::Invalid => "the versions are equal, or the time has passed".to_owned(),
    }
}
