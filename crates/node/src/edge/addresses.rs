//! Endpoint discovery: the node addresses that a caller should use.

use axum::Json;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use base::{Name, Seed};
use serde::{Deserialize, Serialize};

use super::Problem;
use crate::actor::members::Addresses;
use crate::shared::Shared;

/// Query parameters.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Params {
    /// Endpoint that will be called.
    endpoint: String,
    /// Availability zone of the caller.
    zone: Option<String>,
}

/// A node address.
#[derive(Debug, Serialize)]
struct Entry {
    address: std::net::SocketAddr,
    zone: Name,
}

/// Body of the answer; the best address comes first.
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
