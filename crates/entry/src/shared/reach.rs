//! Which replicas this node reaches, and the nodes through which it reaches the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::{Incarnation, Millis};
use place::intermediary::{Candidate, may_forward};
use place::{Destination, Pool, ReachChange, ReplicaKey};

use super::{Shared, lock};
use crate::upstream::{Connection, REPLICA_LIVENESS};

/// How a request gets to the replicas of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// From this node.
    Direct,
    /// Through another node.
    Through(Intermediary),
    /// Not at all.
    None,
}

/// A node through which requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intermediary {
    /// The node.
    pub node: Incarnation,
    /// Its address for calls of other nodes.
    pub address: SocketAddr,
    /// Whether it is in the same availability zone, whose nodes say themselves what they reach. Of the nodes of other zones of
    /// a large cluster, sums tell.
    pub is_near: bool,
    /// Age of what is known of what it reaches; `None` if nothing was heard.
    pub evidence_age: Option<Millis>,
}

/// Counts a request as sent through a node until dropped.
#[derive(Debug)]
pub struct IntermediaryUse {
    shared: Arc<Shared>,
    node: Incarnation,
}

impl Drop for IntermediaryUse {
    fn drop(&mut self) {
        let now = self.shared.now();
        lock(&self.shared.intermediaries).end(now, self.node.0);
    }
}

/// Counts a request as forwarded for another node until dropped.
#[derive(Debug)]
pub struct ForwardGuard(Arc<Shared>);

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.0.forwarded.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Records whether a replica could be connected to from this node.
    pub fn record_connect(&self, endpoint: &Arc<str>, replica: ReplicaKey, is_connected: bool) {
        let now = self.now();
        let change = self.with_pool(endpoint, |pool| pool.record_connect(now, replica, is_connected));
        match change {
            Some(ReachChange::CutOff {
                failed,
                connected_age,
            }) => {
                metrics::counter!("bilberrylatch_cut_offs_total").increment(1);
                metrics::gauge!("bilberrylatch_cut_off", "endpoint" => endpoint.to_string()).set(1);
                log::warn!(endpoint:%, failed, connected_age_ms = connected_age.map_or(-1, |age| age.0 as i64),
                    intermediaries = self.candidates(now, endpoint).len(); "no replica can be reached");
            }
            Some(ReachChange::Reached { cut_off }) => {
                metrics::gauge!("bilberrylatch_cut_off", "endpoint" => endpoint.to_string()).set(0);
                log::info!(endpoint:%, cut_off_ms = cut_off.0; "replicas reached again");
            }
            None => {}
        }
    }

    /// A connection to a replica that has been idle for at most `max_idle`, or a new one. Without `max_idle` it is always a new
    /// one.
    pub async fn connect_replica(
        &self,
        endpoint: &Arc<str>,
        replica: &Destination,
        max_idle: Option<Millis>,
    ) -> Result<Connection, String> {
        let Destination {
            replica: key,
            id,
            address,
            ..
        } = replica;
        let idle = max_idle.and_then(|max_idle| self.connections.take(id, *address, max_idle));
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let connected = Connection::connect(id, *address, REPLICA_LIVENESS).await;
        self.record_connect(endpoint, *key, connected.is_ok());
        if self.is_evacuated(endpoint, *key) {
            // The evacuation began while the connection was opened.
            return Err("zone evacuated".to_owned());
        }
        connected
    }

    /// How a request gets to a replica of an endpoint now, through nodes of these zones if there are any.
    pub fn path_to(&self, endpoint: &Arc<str>, replica: ReplicaKey, zones: Option<&[Arc<str>]>) -> Path {
        if self.with_pool(endpoint, |pool| pool.is_direct(replica)) {
            return Path::Direct;
        }
        self.path_within(endpoint, zones)
    }

    /// Whether other nodes, of these zones if there are any, reach the replicas of an endpoint while this one does not.
    pub fn has_detour(&self, endpoint: &Arc<str>, zones: Option<&[Arc<str>]>) -> bool {
        matches!(self.path_within(endpoint, zones), Path::Through(_))
    }

    /// How a request gets to the replicas of an endpoint now, apart from those that are reached while others are not.
    pub fn path(&self, endpoint: &Arc<str>) -> Path {
        self.path_within(endpoint, None)
    }

    fn path_within(&self, endpoint: &Arc<str>, zones: Option<&[Arc<str>]>) -> Path {
        if !self.with_pool(endpoint, |pool| pool.is_cut_off()) {
            return Path::Direct;
        }
        let now = self.now();
        let mut candidates = self.candidates(now, endpoint);
        if let Some(zones) = zones {
            self.retain_zones(&mut candidates, zones);
        }
        let known: Vec<Candidate> = candidates.iter().map(|(candidate, _)| *candidate).collect();
        let chosen = lock(&self.intermediaries).choose(now, endpoint, &known);
        let chosen = candidates
            .into_iter()
            .find(|(candidate, _)| Some(candidate.node) == chosen);
        match chosen {
            Some((candidate, address)) => Path::Through(Intermediary {
                node: Incarnation(candidate.node),
                address,
                is_near: candidate.is_near,
                evidence_age: self.evidence_age(now, &candidate),
            }),
            // No other node reaches them, so the replicas are down.
            None if self.with_pool(endpoint, |pool| pool.is_all_unreachable()) => Path::None,
            None => Path::Direct,
        }
    }

    /// Counts a request as sent through a node until the returned value is dropped.
    pub fn use_intermediary(self: &Arc<Self>, node: Incarnation) -> IntermediaryUse {
        lock(&self.intermediaries).begin(node.0);
        IntermediaryUse {
            shared: Arc::clone(self),
            node,
        }
    }

    /// Sends no requests through a node for a while, and logs why.
    pub fn exclude_intermediary(
        &self,
        endpoint: &str,
        intermediary: &Intermediary,
        cause: &str,
        pause: Millis,
    ) {
        let Intermediary {
            node,
            is_near,
            evidence_age,
            ..
        } = *intermediary;
        metrics::counter!("bilberrylatch_intermediary_exclusions_total").increment(1);
        log::info!(endpoint, node:%, is_near, evidence_age_ms = evidence_age.map_or(-1, |age| age.0 as i64), cause,
            pause_ms = pause.0; "intermediary excluded");
        lock(&self.intermediaries).exclude(self.now(), node.0, pause);
    }

    /// Records that a response came through a node.
    pub fn record_forwarded(&self, endpoint: &Arc<str>, node: Incarnation) {
        lock(&self.intermediaries).record_response(self.now(), endpoint, node.0);
    }

    /// Records that a node declined because it is cut off from an endpoint, and the nodes that it named instead.
    pub fn record_cut_off_intermediary(
        &self,
        endpoint: &Arc<str>,
        intermediary: &Intermediary,
        named: &[Incarnation],
    ) {
        metrics::counter!("bilberrylatch_intermediary_exclusions_total").increment(1);
        log::info!(endpoint:%, node:% = intermediary.node, is_near = intermediary.is_near,
            evidence_age_ms = intermediary.evidence_age.map_or(-1, |age| age.0 as i64), named = named.len();
            "intermediary cut off");
        let named: Vec<u64> = named.iter().map(|it| it.0).collect();
        lock(&self.intermediaries).record_decline(self.now(), endpoint, intermediary.node.0, &named);
    }

    /// Some nodes that reach an endpoint, by what they said themselves, for a node that asked this one in vain.
    pub fn other_intermediaries(&self, endpoint: &str) -> Vec<Incarnation> {
        let candidates = self.candidates(self.now(), endpoint).into_iter();
        let heard: Vec<Candidate> = candidates
            .map(|(candidate, _)| candidate)
            .filter(|it| it.is_heard)
            .collect();
        let drawn = lock(&self.intermediaries).draw_named(&heard);
        drawn.into_iter().map(Incarnation).collect()
    }

    /// Age of what is known of what a node reaches.
    fn evidence_age(&self, now: Millis, candidate: &Candidate) -> Option<Millis> {
        let hub = lock(&self.hub);
        if candidate.is_heard {
            hub.node_age(now, Incarnation(candidate.node))
        } else {
            hub.outside_age(now)
        }
    }

    /// Counts a request as forwarded for another node until the returned guard is dropped; `None` if there are too many.
    pub fn forward_guard(self: &Arc<Self>) -> Option<ForwardGuard> {
        let forwarded = self.forwarded.load(Ordering::Relaxed);
        let own = self.with_pools(|pools| {
            let loads = pools.values().flat_map(Pool::own_loads);
            loads.map(|load| load.in_flight as usize).sum()
        });
        if !may_forward(forwarded, own) {
            return None;
        }
        self.forwarded.fetch_add(1, Ordering::Relaxed);
        Some(ForwardGuard(Arc::clone(self)))
    }

    /// Number of requests that are forwarded for other nodes.
    pub fn forwarded_requests(&self) -> usize {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Leaves out the nodes of other zones. The request's body must not get there.
    fn retain_zones(&self, candidates: &mut Vec<(Candidate, SocketAddr)>, zones: &[Arc<str>]) {
        let view = self.view();
        candidates.retain(|(candidate, _)| {
            let peer = view.peers.get(&Incarnation(candidate.node));
            peer.is_some_and(|peer| zones.iter().any(|zone| **zone == *peer.zone))
        });
    }

    /// The nodes that reach replicas of an endpoint, as far as is known, with their addresses.
    fn candidates(&self, now: Millis, endpoint: &str) -> Vec<(Candidate, SocketAddr)> {
        let settings = self.settings();
        let is_layered = self.topology().is_layered;
        let hub = lock(&self.hub);
        let view = self.view();
        let others = view
            .peers
            .iter()
            .filter(|(node, peer)| peer.ready && **node != self.incarnation);
        let reaches = others.filter(|(node, peer)| {
            if is_layered && peer.zone != settings.zone {
                hub.zone_reaches(now, &peer.zone, endpoint)
            } else {
                hub.node_reaches(now, **node, endpoint)
            }
        });
        let candidate = |(node, peer): (&Incarnation, &crate::view::Peer)| {
            let candidate = Candidate {
                node: node.0,
                capacity: peer.capacity,
                is_near: peer.zone == settings.zone,
                is_heard: !is_layered || peer.zone == settings.zone,
            };
            (candidate, peer.peer_address)
        };
        reaches.map(candidate).collect()
    }
}
