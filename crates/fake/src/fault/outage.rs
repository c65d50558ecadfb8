//! Outages of a server as its clients see them.

use std::time::Duration;

use axum::response::{IntoResponse, Response};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::net::Peer;

/// Maximum time that a request hangs.
const MAX_HANG: Duration = Duration::from_mins(10);

/// Outage of all routes except the admin routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Connections are reset when a request arrives.
    Reset,
    /// Requests are rejected with 503.
    Unavailable,
    /// Requests hang without a response.
    Hang,
}

impl Outage {
    /// Responds to a request without running it.
    pub async fn respond(self, peer: &Peer) -> Response {
        match self {
            Self::Reset => peer.reset(),
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            Self::Hang => {
                tokio::time::sleep(MAX_HANG).await;
                peer.reset()
            }
        }
    }
}
