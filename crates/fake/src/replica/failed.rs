//! Answers that take the place of a whole one.

use axum::response::{IntoResponse, Response};
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};

use super::Echo;
use crate::fault::{Failure, Plan};
use crate::header::OUTCOME;
use crate::net::Peer;

/// Seconds after which a refused request may come again.
const RETRY_AFTER_S: u16 = 1;

/// What a request meets instead of its answer.
#[derive(Clone, Copy, Debug)]
pub struct Failed<'a> {
    /// How it fails.
    pub failure: Failure,
    /// Echoed headers.
    pub echo: &'a Echo,
    /// Faults drawn for the request.
    pub plan: &'a Plan,
}

impl Failed<'_> {
    /// The failure as a response.
    pub fn respond(self, peer: &Peer) -> Response {
        let mut response = match self.failure {
            Failure::Reset => return peer.reset(),
            Failure::Rejected => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            Failure::Status(status) => status.into_response(),
        };
        let headers = response.headers_mut();
        self.echo.apply(self.plan, headers);
        if self.failure == Failure::Rejected {
            headers.insert(OUTCOME, HeaderValue::from_static("not-run"));
            headers.insert(RETRY_AFTER, RETRY_AFTER_S.into());
        }
        response
    }
}
