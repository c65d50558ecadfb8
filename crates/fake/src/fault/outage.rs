//! How an unreachable server looks to its clients.

use std::time::Duration;

use axum::response::{IntoResponse, Response};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::net::Peer;

/// Longest hang.
const HANG: Duration = Duration::from_mins(10);

/// An outage of all but the admin routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Connections are reset once a request comes.
    Reset,
    /// Requests are refused with 503.
    Unavailable,
    /// Requests hang without an answer.
    Hang,
}

impl Outage {
    /// What a request meets; it does not run.
    pub async fn respond(self, peer: &Peer) -> Response {
        match self {
            Self::Reset => peer.reset(),
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            Self::Hang => {
                tokio::time::sleep(HANG).await;
                peer.reset()
            }
        }
    }
}
