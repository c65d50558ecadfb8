//! Responds to callers' address lookups.

use std::net::SocketAddr;

use http::{HeaderValue, Response, StatusCode, Uri, header};

use super::body::{self, Body};
use crate::Shared;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Responds with the addresses of the nodes that callers should use.
pub(super) fn handle_request(shared: &Shared, uri: &Uri) -> Response<Body> {
    let Some(lookup) = shared.edge.decode_lookup(uri) else {
        return status(StatusCode::NOT_FOUND);
    };
    let addresses = addresses(shared);
    log::debug!(zone:? = lookup.zone, addresses = addresses.len(); "addresses requested");
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let bytes = shared
        .edge
        .encode_addresses(&addresses, shared.settings().address_ttl);
    let mut response = Response::new(body::full(bytes));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn addresses(shared: &Shared) -> Vec<SocketAddr> {
    let own = shared.settings().listen;
    let mut addresses: Vec<SocketAddr> = {
        let view = shared.view();
        let peers = view.peers.values();
        let ready = peers.filter(|peer| peer.ready && peer.address != own);
        ready.map(|peer| peer.address).take(MAX_ADDRESSES - 1).collect()
    };
    if shared.is_ready() {
        addresses.push(own);
    }
    addresses
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::full(bytes::Bytes::new()));
    *response.status_mut() = status;
    response
}
