//! Connection information for request handlers.

use std::sync::Arc;

use axum::extract::connect_info::Connected;
use axum::response::Response;
use axum::serve::IncomingStream;

use super::{Connection, Listener};

/// Connection that a request arrived on.
#[derive(Clone, Debug)]
pub struct Peer(pub Arc<Connection>);

impl Peer {
    /// Resets the connection. The returned response is never written.
    pub fn reset(&self) -> Response {
        self.0.reset();
        Response::default()
    }
}

impl Connected<IncomingStream<'_, Listener>> for Peer {
    fn connect_info(stream: IncomingStream<'_, Listener>) -> Self {
        Self(stream.io().connection())
    }
}
