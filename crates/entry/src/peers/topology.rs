//! Which nodes send each other datagrams.

use std::net::SocketAddr;

use base::{Incarnation, Millis};
use indexmap::IndexMap;
use relay::{Candidate, lead};

use super::{DIGEST_INTERVAL, KEEPALIVE_INTERVAL, MAX_PER_SECOND, PEER_TIMEOUT, SEND_INTERVAL, Scope};
use crate::view::{Peer, Peers};

/// Datagrams that may be lost in a row before a node counts as disconnected.
const TOLERATED_LOSSES: u32 = 3;

/// How much smaller a large cluster must become before its nodes send datagrams to all others again.
const SHRINK_FACTOR: u32 = 4;

/// Time for a datagram to arrive and to be read.
const TRANSIT_TIME: Millis = Millis(20);

/// Interval between datagrams to the same one of this many receivers.
pub(super) fn send_interval(receivers: usize) -> Millis {
    let shared_rate = Millis(receivers as u64 * 1_000 / u64::from(MAX_PER_SECOND));
    SEND_INTERVAL.max(shared_rate)
}

/// Inverse of the maximum fraction of nodes that may be missing while the others count as connected.
const MISSING_NODES_DIVISOR: usize = 20;
/// The same for nodes that have been silent for longer than nodes are that have nothing to tell.
const SILENT_NODES_DIVISOR: usize = 4;
/// How late a datagram may be.
const SILENCE_MARGIN: Millis = Millis(150);

/// The nodes that this node exchanges datagrams with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// Addresses of the nodes that receive this node's own values: all, or those of its zone in a large cluster.
    pub direct: Vec<SocketAddr>,
    /// These nodes.
    pub direct_nodes: Vec<Incarnation>,
    /// Whether the zones' hubs exchange sums.
    pub is_layered: bool,
    /// Whether this node is the hub of its zone.
    pub is_hub: bool,
    /// The hubs of all zones.
    pub hubs: Vec<Incarnation>,
    /// Addresses of the hubs of the other zones.
    pub other_hubs: Vec<SocketAddr>,
    /// Number of other zones with a hub.
    pub other_zones: usize,
}

impl Topology {
    /// The topology of the node `own` in `zone`, after the one of before.
    ///
    /// Load pattern: many nodes of a large cluster lose their registrations for some seconds, and go on by their views of before.
    /// If the others took the cluster for a small one meanwhile, they would count some nodes twice and others not at all.
    pub fn new(peers: &Peers, own: Incarnation, zone: &str, before: &Self) -> Self {
        let others = peers.len().saturating_sub(1) as u32;
        // Otherwise a node would be heard too rarely to tell a lost datagram from a lost node.
        let max_direct = MAX_PER_SECOND * PEER_TIMEOUT.0 as u32 / (1_000 * (TOLERATED_LOSSES + 1));
        let is_layered = others > max_direct || (before.is_layered && others * SHRINK_FACTOR > max_direct);
        let is_direct =
            |(node, peer): &(&Incarnation, &Peer)| **node != own && (!is_layered || peer.zone == zone);
        let direct: Vec<(&Incarnation, &Peer)> = peers.iter().filter(is_direct).collect();
        let mut topology = Self {
            direct: direct.iter().map(|(_, peer)| peer.peer_address).collect(),
            direct_nodes: direct.iter().map(|(node, _)| **node).collect(),
            is_layered,
            ..Self::default()
        };
        if is_layered {
            topology.add_hubs(peers, own, zone);
        }
        topology
    }

    /// Whether this node uses what datagrams of this scope say. Sums of one zone are for hubs, sums of all others for the rest.
    pub const fn uses(&self, scope: &Scope) -> bool {
        match scope {
            Scope::Node => true,
            Scope::Zone(_) => self.is_hub,
            Scope::Outside { .. } => !self.is_hub,
        }
    }

    /// Interval between datagrams to the same node.
    pub fn send_interval(&self) -> Millis {
        send_interval(self.direct.len())
    }

    /// Time until a node has heard what another one admitted.
    pub fn report_delay(&self) -> Millis {
        let direct = self.send_interval() + TRANSIT_TIME;
        if self.is_layered {
            direct + DIGEST_INTERVAL + DIGEST_INTERVAL
        } else {
            direct
        }
    }

    /// Whether enough of the nodes that send this one datagrams were heard from recently. `last_heard` is the time of the last
    /// datagram.
    ///
    /// Of many nodes, a few may be missing: what they admit is within the tolerance of the limits. If many fall silent at the same
    /// time, the cluster has been cut in parts, each of which would use the whole limit.
    pub fn hears_nodes<F>(&self, now: Millis, last_heard: F) -> bool
    where
        F: Fn(Incarnation) -> Option<Millis>,
    {
        let unheard_for = |time: Millis| {
            let is_missing = |node: &&Incarnation| last_heard(**node).is_none_or(|at| now.since(at) >= time);
            self.direct_nodes.iter().filter(is_missing).count()
        };
        let silence = KEEPALIVE_INTERVAL + self.send_interval() + SILENCE_MARGIN;
        let nodes = self.direct_nodes.len();
        unheard_for(PEER_TIMEOUT) * MISSING_NODES_DIVISOR <= nodes
            && unheard_for(silence.min(PEER_TIMEOUT)) * SILENT_NODES_DIVISOR <= nodes
    }

    fn add_hubs(&mut self, peers: &Peers, own: Incarnation, zone: &str) {
        let mut zones: IndexMap<&str, Vec<Candidate>> = IndexMap::new();
        for (node, peer) in peers.iter().filter(|(_, peer)| peer.ready) {
            zones.entry(&peer.zone).or_default().push(Candidate {
                node: *node,
                capacity: peer.capacity,
            });
        }
        for (name, nodes) in zones {
            let Some(hub) = lead(nodes) else { continue };
            self.hubs.push(hub);
            if name == zone {
                self.is_hub = hub == own;
            } else {
                self.other_zones += 1;
                self.other_hubs
                    .extend(peers.get(&hub).map(|peer| peer.peer_address));
            }
        }
    }
}
