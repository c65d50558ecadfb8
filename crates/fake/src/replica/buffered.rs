//! Responses sent as a single body, with the faults that corrupt them.

use std::io;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use futures::Stream;
use http::HeaderValue;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};

use super::Echo;
use crate::fault::{Corruption, Plan};
use crate::net::Peer;

/// Delay before a reset, so that the data before it is sent first.
pub(crate) const RESET_DELAY: Duration = Duration::from_millis(5);

/// Response sent as a single body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Buffered {
    /// Echoed headers.
    pub echo: Echo,
    /// JSON body.
    pub body: Bytes,
}

impl Buffered {
    /// Converts to a response with the faults of the plan applied.
    pub fn respond(self, plan: &Plan, peer: &Peer) -> Response {
        let length = self.body.len();
        let part = self.body.slice(..length / 2);
        let body = match plan.corruption {
            Some(Corruption::Truncate | Corruption::Cut) => {
                Body::from_stream(reset_after(part, peer.clone()))
            }
            Some(Corruption::Duplicate) => Body::from([self.body.clone(), self.body].concat()),
            Some(Corruption::WrongDispatch | Corruption::Crossed) | None => Body::from(self.body),
        };
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if plan.corruption == Some(Corruption::Truncate) {
            headers.insert(CONTENT_LENGTH, length.into());
        }
        self.echo.apply(plan, headers);
        response
    }
}

fn reset_after(part: Bytes, peer: Peer) -> impl Stream<Item = io::Result<Bytes>> {
    async_stream::stream! {
        yield Ok(part);
        tokio::time::sleep(RESET_DELAY).await;
        peer.0.reset();
        yield Err(io::ErrorKind::ConnectionReset.into());
    }
}
