//! Queries about nodes, for callers and operators.

use std::net::SocketAddr;

use base::{Incarnation, Name, Seed};
use indexmap::IndexMap;
use kameo::message::{Context, Message};
use member::address::{Caller, List, Settings};
use member::node::State;
use member::{Acks, Generation};
use serde::{Serialize, Serializer};

use super::Members;

/// Queries the node addresses that a caller should use.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Availability zone of the caller, if given.
    pub zone: Option<Name>,
    /// Seed for spreading callers over nodes.
    pub seed: Seed,
}

impl Message<Addresses> for Members {
    type Reply = Result<List, std::convert::Infallible>;

    async fn handle(&mut self, query: Addresses, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let caller = Caller {
            region: self.node.region.clone(),
            zone: query.zone.unwrap_or_else(|| self.node.zone.clone()),
            seed: query.seed,
        };
        Ok(List::new(
            self.gossip.view(),
            &IndexMap::new(),
            &caller,
            &Settings::new(),
        ))
    }
}

/// Queries all known nodes.
#[derive(Clone, Copy, Debug)]
pub struct Nodes;

/// A node as seen by this node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeView {
    /// Name.
    pub name: Name,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: Name,
    /// Region.
    pub region: Name,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Membership state.
    #[serde(serialize_with = "lower_case")]
    pub state: State,
}

impl Message<Nodes> for Members {
    type Reply = Vec<NodeView>;

    async fn handle(&mut self, _nodes: Nodes, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.gossip.view().iter().map(view).collect()
    }
}

fn view(member: &member::view::Member) -> NodeView {
    let node = member.node();
    NodeView {
        name: node.name.clone(),
        incarnation: node.incarnation,
        zone: node.zone.clone(),
        region: node.region.clone(),
        caller: node.caller,
        peer: node.peer,
        state: member.state(),
    }
}

/// Serializes a state in lower case.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "the serializer's signature")]
fn lower_case<S>(state: &State, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.serialize_str(match state {
        State::Alive => "alive",
        State::Leaving => "leaving",
        State::Suspect => "suspect",
        State::Gone => "gone",
    })
}

/// Queries how far the newest generation has propagated.
#[derive(Clone, Copy, Debug)]
pub struct Propagation;

/// Availability zone with nodes that have not applied the newest generation.
#[derive(Clone, Debug, Serialize)]
pub struct LaggingZone {
    /// Region of the zone.
    pub region: Name,
    /// Name of the zone.
    pub zone: Name,
    /// Highest generation applied by all nodes of the zone.
    pub generation: u64,
    /// Number of nodes in the zone.
    pub nodes: u32,
    /// Names of nodes that are unreachable but not known to be gone.
    pub unreachable: Vec<Name>,
}

/// Propagation of the newest known generation.
#[derive(Clone, Debug, Serialize)]
pub struct Progress {
    /// Newest generation known to this node.
    pub known: u64,
    /// Generation applied by this node.
    pub applied: u64,
    /// Highest generation applied by every node that is not gone; 0 if this node can't determine it.
    pub in_force: u64,
    /// Number of nodes that are not gone.
    pub nodes: usize,
    /// Zones that have not applied the newest generation.
    pub behind: Vec<LaggingZone>,
}

impl Message<Propagation> for Members {
    type Reply = Result<Progress, std::convert::Infallible>;

    async fn handle(
        &mut self,
        _propagation: Propagation,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let number = |generation: Option<Generation>| generation.map_or(0, |generation| generation.0);
        let known = self.config.known().unwrap_or(Generation(0));
        let acks = Acks::new(self.gossip.view(), self.gossip.bodies());
        // Report `in_force` only while this node may serve; otherwise it may not know all nodes.
        let serves = self.config.serving(self.now()).is_ok();
        let in_force = acks.in_force().filter(|_| serves);
        let behind = acks.zones_behind(known).into_iter().map(|zone| LaggingZone {
            region: zone.region.clone(),
            zone: zone.zone.clone(),
            generation: zone.generation.0,
            nodes: zone.nodes,
            unreachable: zone.unreachable.clone(),
        });
        Ok(Progress {
            known: known.0,
            applied: number(self.config.applied()),
            in_force: number(in_force),
            nodes: self.gossip.view().present().count(),
            behind: behind.collect(),
        })
    }
}
