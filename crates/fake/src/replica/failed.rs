//! Failures sent instead of regular responses.

use axum::response::{IntoResponse, Response};
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};

use super::Echo;
use crate::fault::{Failure, Plan};
use crate::header::OUTCOME;
use crate::net::Peer;

/// Seconds after which a rejected request may be retried.
const RETRY_AFTER_S: u16 = 1;

/// Failure sent instead of the response to a request.
#[derive(Clone, Copy, Debug)]
pub struct Failed<'a> {
    /// Kind of failure.
    pub failure: Failure,
    /// Echoed headers.
    pub echo: &'a Echo,
    /// Faults selected for the request.
    pub plan: &'a Plan,
}

impl Failed<'_> {
    /// Converts the failure to a response.
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
