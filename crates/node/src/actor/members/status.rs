//! What callers and operators are told of nodes.

use std::net::SocketAddr;

use base::{Incarnation, Name, Seed};
use indexmap::IndexMap;
use kameo::message::{Context, Message};
use member::address::{Caller, List, Settings};
use member::node::State;
use member::{Acks, Generation};
use serde::{Serialize, Serializer};

use super::Members;

/// Asks for the addresses that a caller should use.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// The caller's availability zone, if it said so.
    pub zone: Option<Name>,
    /// Spreads callers.
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

/// Asks for all nodes.
#[derive(Clone, Copy, Debug)]
pub struct Nodes;

/// One node as this node sees it.
#[derive(Clone, Debug, Serialize)]
pub struct NodeView {
    /// Its name.
    pub name: Name,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
    /// Its state.
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

/// States as operators read them.
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

/// Asks how far a generation has got.
#[derive(Clone, Copy, Debug)]
pub struct Propagation;

/// A zone with nodes that have not applied the newest generation.
#[derive(Clone, Debug, Serialize)]
pub struct LaggingZone {
    /// The region.
    pub region: Name,
    /// The availability zone.
    pub zone: Name,
    /// The highest generation that all its nodes have applied.
    pub generation: u64,
    /// Its nodes.
    pub nodes: u32,
    /// Nodes that are unreachable and not known to be gone.
    pub unreachable: Vec<Name>,
}

/// How far the newest known generation has got.
#[derive(Clone, Debug, Serialize)]
pub struct Progress {
    /// The newest generation that this node knows of.
    pub known: u64,
    /// The generation that this node has applied.
    pub applied: u64,
    /// The highest generation that every node that is not gone has applied; 0 if this node can't tell.
    pub in_force: u64,
    /// Nodes that are not gone.
    pub nodes: usize,
    /// Zones that are behind the newest.
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
        // Only a node that serves may say what is in force: another one may not know of all nodes.
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
