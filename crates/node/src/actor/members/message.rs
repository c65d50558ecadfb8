//! Messages about nodes, the head record and VMs, and their handlers.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Incarnation;
use bytes::Bytes;
use claim::table::Home;
use kameo::message::{Context, Message};
use member::gossip::Event;
use member::item::{Body, Vm};
use member::node::{Registration, State};
use member::{config, generation};

use super::Members;
use crate::retained::Retained;

/// Timer tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl Message<Tick> for Members {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self, Self::Reply>) {
        self.tick().await;
    }
}

/// Encoded gossip frame from a peer.
#[derive(Clone, Debug)]
pub struct Gossiped(pub Bytes);

impl Message<Gossiped> for Members {
    type Reply = ();

    async fn handle(&mut self, gossiped: Gossiped, _context: &mut Context<Self, Self::Reply>) {
        match wire::decode(&gossiped.0) {
            Ok(frame) => self.step(Event::Receive(frame)).await,
            Err(error) => log::warn!("dropped a malformed gossip frame: {error}"),
        }
    }
}

/// Head record read from the platform.
#[derive(Clone, Copy, Debug)]
pub struct HeadRead(pub generation::Head);

impl Message<HeadRead> for Members {
    type Reply = ();

    async fn handle(&mut self, head: HeadRead, _context: &mut Context<Self, Self::Reply>) {
        let generation = head.0.generation;
        if generation.0 > 0 {
            self.digests.insert(generation, head.0.digest);
            self.step(Event::Publish(Body::Head(head.0))).await;
        }
        self.step(Event::Confirmed(generation)).await;
        self.step_config(config::Event::Platform(generation)).await;
    }
}

/// Complete list of registrations, read from the platform.
#[derive(Clone, Debug)]
pub struct RegistrationsListed(pub Vec<Registration>);

impl Message<RegistrationsListed> for Members {
    type Reply = ();

    async fn handle(&mut self, listed: RegistrationsListed, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::RegistrationsListed(listed.0)).await;
    }
}

/// Reports that this node's registration was renewed at the platform.
#[derive(Clone, Copy, Debug)]
pub struct Renewed;

impl Message<Renewed> for Members {
    type Reply = ();

    async fn handle(&mut self, _renewed: Renewed, _context: &mut Context<Self, Self::Reply>) {
        self.step_config(config::Event::Renewed).await;
    }
}

/// Queries the state to retain for the next incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Retain;

impl Message<Retain> for Members {
    type Reply = Result<Box<Retained>, std::convert::Infallible>;

    async fn handle(&mut self, _retain: Retain, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let snapshot = Arc::clone(&self.snapshot.borrow());
        Ok(Box::new(Retained {
            gossip: self.gossip.clone(),
            config: self.config.next_incarnation(),
            snapshot,
        }))
    }
}

/// Complete list of VMs, read from the cloud.
#[derive(Clone, Debug)]
pub struct VmsListed(pub Vec<Vm>);

impl Message<VmsListed> for Members {
    type Reply = ();

    async fn handle(&mut self, listed: VmsListed, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::VmsListed(listed.0)).await;
    }
}

/// Publishes by gossip that a VM is leaving.
#[derive(Clone, Debug)]
pub struct Mark(pub Vm);

impl Message<Mark> for Members {
    type Reply = ();

    async fn handle(&mut self, mark: Mark, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Publish(Body::Mark {
            vm: mark.0,
            ended: false,
        }))
        .await;
    }
}

/// Publishes a veto of this node by gossip.
#[derive(Clone, Debug)]
pub struct Veto {
    /// Id of the veto.
    pub id: u64,
    /// Encoded veto.
    pub evidence: Bytes,
}

impl Message<Veto> for Members {
    type Reply = ();

    async fn handle(&mut self, veto: Veto, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Publish(Body::Veto {
            id: veto.id,
            evidence: veto.evidence,
        }))
        .await;
    }
}

impl Veto {
    /// Encodes a veto for gossip.
    pub fn new(veto: &rollout::Veto) -> Self {
        let evidence = wire::encode(veto).map(Bytes::from).unwrap_or_default();
        Self {
            id: veto.rollout.0,
            evidence,
        }
    }
}

/// Publishes an announcement to all nodes. It replaces earlier versions of the same series.
#[derive(Clone, Debug)]
pub struct Publish {
    /// Id of the series.
    pub id: u64,
    /// Version within the series.
    pub version: u64,
    /// Encoded announcement.
    pub report: Bytes,
}

impl Message<Publish> for Members {
    type Reply = ();

    async fn handle(&mut self, publish: Publish, _context: &mut Context<Self, Self::Reply>) {
        let Publish { id, version, report } = publish;
        self.step(Event::Publish(Body::Demand { id, version, report }))
            .await;
    }
}

/// Reports that this node is about to stop.
#[derive(Clone, Copy, Debug)]
pub struct Leaving;

impl Message<Leaving> for Members {
    type Reply = ();

    async fn handle(&mut self, _leaving: Leaving, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Leaving).await;
    }
}

/// Reports that this node has stopped.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

impl Message<Stopped> for Members {
    type Reply = ();

    async fn handle(&mut self, _stopped: Stopped, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Stopped).await;
    }
}

/// Queries the state and addresses of an incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Locate(pub Incarnation);

/// State and addresses of an incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Location {
    /// State of the key home: reachable, unreachable, gone, or replaced by a successor.
    pub home: Home,
    /// Peer address of the incarnation, or of its successor.
    pub peer: Option<SocketAddr>,
    /// Address of the incarnation for callers.
    pub caller: Option<SocketAddr>,
}

impl Message<Locate> for Members {
    type Reply = Result<Location, std::convert::Infallible>;

    async fn handle(&mut self, query: Locate, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let member = self.gossip.view().member(query.0);
        let peer = member.map(|member| member.node().peer);
        let caller = member.map(|member| member.node().caller);
        let home = match member.map(member::view::Member::state) {
            Some(State::Alive | State::Leaving) => {
                return Ok(Location {
                    home: Home::Alive,
                    peer,
                    caller,
                });
            }
            Some(State::Suspect) => {
                return Ok(Location {
                    home: Home::Unreachable,
                    peer,
                    caller,
                });
            }
            Some(State::Gone) => Home::Gone,
            None => Home::Unreachable,
        };
        let successor = self
            .successors
            .get(&query.0)
            .and_then(|successor| self.gossip.view().member(*successor));
        let successor = successor.filter(|successor| successor.state() != State::Gone);
        Ok(match successor {
            Some(successor) => Location {
                home: Home::Successor(successor.node().incarnation),
                peer: Some(successor.node().peer),
                caller,
            },
            None => Location { home, peer, caller },
        })
    }
}
