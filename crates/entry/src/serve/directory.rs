//! Responds to callers' address lookups.

use std::net::SocketAddr;

use base::Millis;
use http::{HeaderValue, Response, StatusCode, Uri, header};

use table::{Suitability, Table};

use super::body::{self, Body};
use crate::Shared;
use crate::edge::Lookup;
use crate::settings::Settings;
use crate::view::Peer;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;
/// Maximum age of a view whose nodes are all named. A node that is killed stays registered for 2.5 s, and may be named for 7 s.
const MAX_VIEW_AGE: Millis = Millis(4_500);
/// Time after an outage of the store in which registrations of killed nodes may still be there: their lease, and the time for which
/// deletions are deferred.
const SETTLE_TIME: Millis = Millis(4_300);

/// A node that callers may use.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    address: SocketAddr,
    suitability: Suitability,
}

/// Responds with the addresses of the nodes that callers should use.
pub(super) fn handle_request(shared: &Shared, uri: &Uri) -> Response<Body> {
    let Some(lookup) = shared.edge.decode_lookup(uri) else {
        return status(StatusCode::NOT_FOUND);
    };
    let addresses = addresses(shared, &lookup);
    log::debug!(zone:? = lookup.zone, region:? = lookup.region, host:? = lookup.host, addresses = addresses.len(); "addresses requested");
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

/// The nodes that suit the caller best.
fn addresses(shared: &Shared, lookup: &Lookup) -> Vec<SocketAddr> {
    let settings = shared.settings();
    let is_own_ready = shared.is_ready();
    let heard = heard_nodes(shared);
    let view = shared.view();
    let table = view.table.as_deref();
    let candidate = |address, zone: &str| Candidate {
        address,
        suitability: suitability(table, &settings, lookup, zone),
    };
    let is_named = |peer: &Peer| {
        let is_heard = heard
            .as_ref()
            .is_none_or(|heard| heard.contains(&peer.peer_address));
        peer.ready && peer.address != settings.listen && is_heard
    };
    let others = view.peers.values().filter(|peer| is_named(peer));
    let mut candidates: Vec<Candidate> = others.map(|peer| candidate(peer.address, &peer.zone)).collect();
    if is_own_ready {
        candidates.insert(0, candidate(settings.listen, &settings.zone));
    }
    let Some(best) = candidates.iter().map(|it| it.suitability).min() else {
        return Vec::new();
    };
    let best = candidates.iter().filter(|it| it.suitability == best);
    best.map(|it| it.address).take(MAX_ADDRESSES).collect()
}

/// Addresses for datagrams of the nodes that were heard from lately, if the view doesn't tell which nodes live: it is old, or the
/// registrations of killed nodes have outlived an outage of the store.
fn heard_nodes(shared: &Shared) -> Option<Vec<SocketAddr>> {
    let now = shared.now();
    let age = shared.view().freshness.age(now);
    let is_fresh = age.is_some_and(|age| age < MAX_VIEW_AGE);
    let up_since = shared.availability().up_since();
    let is_settled = up_since.is_none_or(|since| now.since(since) >= SETTLE_TIME);
    let heard = shared.heard_addresses();
    let names_all = is_fresh && (is_settled || heard.is_empty());
    (!names_all).then_some(heard)
}

fn suitability(table: Option<&Table>, settings: &Settings, lookup: &Lookup, zone: &str) -> Suitability {
    let (Some(table), Some(host)) = (table, &lookup.host) else {
        return Suitability::Suitable;
    };
    let of_zone = lookup.zone.as_deref().and_then(|zone| settings.region_of(zone));
    let caller = lookup.region.as_deref().or(of_zone);
    Suitability::new(table.routes_of(host), caller, settings.region_of(zone))
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::full(bytes::Bytes::new()));
    *response.status_mut() = status;
    response
}
