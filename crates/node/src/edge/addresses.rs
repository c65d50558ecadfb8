//! Which addresses callers should use.

use axum::Json;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use base::{Name, Seed};
use serde::{Deserialize, Serialize};

use super::Problem;
use crate::actor::members::Addresses;
use crate::shared::Shared;

/// What a caller may ask with.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Params {
    /// The endpoint that it will call.
    endpoint: String,
    /// Its availability zone.
    zone: Option<String>,
}

/// One address.
#[derive(Debug, Serialize)]
struct Entry {
    address: std::net::SocketAddr,
    zone: Name,
}

/// The answer: best first.
#[derive(Debug, Serialize)]
struct Answer {
    endpoint: String,
    addresses: Vec<Entry>,
    lifetime_ms: u64,
}

/// `GET /v1/addresses?endpoint=&zone=`.
pub async fn handle(State(shared): State<Shared>, Query(params): Query<Params>) -> Response {
    let seed = Seed(uuid::Uuid::new_v4().as_u64_pair().0);
    let addresses = Addresses {
        zone: params.zone.map(Name::from),
        seed,
    };
    let Ok(list) = shared.members.ask(addresses).await else {
        return Problem::stopping().counted().into_response();
    };
    let entries = list.addresses.iter().map(|address| Entry {
        address: address.caller,
        zone: address.zone.clone(),
    });
    let answer = Answer {
        endpoint: params.endpoint,
        addresses: entries.collect(),
        lifetime_ms: list.lifetime.0,
    };
    Json(answer).into_response()
}
