//! A simulated node: receives events and issues commands.

use base::Millis;
use route::Prefix;

use super::baseline::Baseline;
use super::routed::Routed;
use super::{Config, Kind};

/// A command issued by a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Dispatch a call to a replica.
    Dispatch(Dispatch),
    /// Cancel a dispatch.
    Cancel {
        /// Dispatch id assigned by the router.
        id: u64,
    },
    /// Refuse a call without running it.
    Refuse {
        /// Index of the call.
        call: usize,
    },
}

/// A dispatch of a call to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Index of the call.
    pub call: usize,
    /// Index of the replica.
    pub replica: usize,
    /// Dispatch id assigned by the router.
    pub id: u64,
}

/// An incoming call.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index of the call.
    pub call: usize,
    /// Index of its stream.
    pub stream: usize,
    /// Hash of the shared prefix of its prompt.
    pub prefix: Option<Prefix>,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All tokens were delivered.
    Complete,
    /// The replica was reclaimed before the last token.
    Interrupted {
        /// Tokens delivered by this dispatch.
        tokens: u32,
    },
    /// The node cancelled the dispatch.
    Cancelled,
}

/// Load report of a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Running sequences.
    pub running: u32,
    /// Queued sequences.
    pub queued: u32,
}

/// A node that applies one of the policies.
#[derive(Debug)]
pub enum Node {
    /// Baseline policy that ignores the state of the engines.
    Baseline(Baseline),
    /// Policy of the production router.
    Routed(Box<Routed>),
}

impl Node {
    /// Creates the node with number `index`.
    pub fn new(kind: Kind, config: &Config, index: usize, seed: base::Seed) -> Self {
        let seed = seed.derive(1_000 + index as u64);
        match kind {
            Kind::Random | Kind::RoundRobin | Kind::LeastInFlight => {
                Self::Baseline(Baseline::new(kind, seed))
            }
            Kind::RouterWithoutAffinity => Self::Routed(Box::new(Routed::new(config, index, seed, false))),
            Kind::Router => Self::Routed(Box::new(Routed::new(config, index, seed, true))),
        }
    }

    /// Adds a replica that accepts work.
    pub fn add_replica(&mut self, now: Millis, replica: usize, zone: &str, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(node) => node.add(replica),
            Self::Routed(node) => node.add_replica(now, replica, zone, commands),
        }
    }

    /// Stops sending new work to a replica.
    pub fn drain(&mut self, now: Millis, replica: usize, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(node) => node.remove(replica),
            Self::Routed(node) => node.drain(now, replica, commands),
        }
    }

    /// Handles an incoming call.
    pub fn arrive(&mut self, now: Millis, request: Request, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(node) => commands.push(node.choose(request.call)),
            Self::Routed(node) => node.arrive(now, request, commands),
        }
    }

    /// Handles the first token of a dispatch.
    pub fn first_token(&mut self, now: Millis, dispatch: Dispatch, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(_) => {}
            Self::Routed(node) => node.first_token(now, dispatch, commands),
        }
    }

    /// Handles the end of a dispatch.
    pub fn finish(&mut self, now: Millis, dispatch: Dispatch, end: End, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(node) => {
                node.finish(dispatch.replica);
                if matches!(end, End::Interrupted { .. }) {
                    commands.push(node.choose(dispatch.call));
                }
            }
            Self::Routed(node) => node.finish(now, dispatch, end, commands),
        }
    }

    /// Handles a load report of a replica.
    pub fn report(&mut self, now: Millis, replica: usize, report: Report, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(_) => {}
            Self::Routed(node) => node.report(now, replica, report, commands),
        }
    }

    /// Handles a prefix that a replica's cache stored or evicted.
    pub fn update_prefix(
        &mut self,
        now: Millis,
        replica: usize,
        prefix: Prefix,
        stored: bool,
        commands: &mut Vec<Command>,
    ) {
        match self {
            Self::Baseline(_) => {}
            Self::Routed(node) => node.update_prefix(now, replica, prefix, stored, commands),
        }
    }

    /// Runs timers that are due.
    pub fn tick(&mut self, now: Millis, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(_) => {}
            Self::Routed(node) => node.tick(now, commands),
        }
    }

    /// Time of the next timer.
    pub fn wake_at(&self) -> Option<Millis> {
        match self {
            Self::Baseline(_) => None,
            Self::Routed(node) => node.wake_at(),
        }
    }
}
