//! One node of a trial: takes in what happens and says what to do.

use base::Millis;
use route::Prefix;

use super::baseline::Baseline;
use super::routed::Routed;
use super::{Config, Kind};

/// What a node wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send the call to the replica.
    Dispatch(Dispatch),
    /// Give a dispatch up.
    Cancel {
        /// The router's id.
        id: u64,
    },
    /// Tell the caller that the call did not run.
    Refuse {
        /// Place of the call.
        call: usize,
    },
}

/// A sending of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Place of the call.
    pub call: usize,
    /// Place of the replica.
    pub replica: usize,
    /// The router's id.
    pub id: u64,
}

/// A call as it comes to a node.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Place of the call.
    pub call: usize,
    /// Place of its stream.
    pub stream: usize,
    /// Shared beginning of its prompt.
    pub prefix: Option<Prefix>,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With all tokens.
    Complete,
    /// After some tokens.
    Interrupted {
        /// Tokens of this dispatch.
        tokens: u32,
    },
    /// By a cancel.
    Cancelled,
}

/// What a replica says of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Sequences that run.
    pub running: u32,
    /// Sequences that wait.
    pub queued: u32,
}

/// A node under one of the policies.
#[derive(Debug)]
pub enum Node {
    /// Chooses without knowing anything of the engines.
    Baseline(Baseline),
    /// Chooses by the router.
    Routed(Box<Routed>),
}

impl Node {
    /// Node number `index` under a policy.
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

    /// A replica takes up work.
    pub fn add_replica(&mut self, now: Millis, replica: usize, zone: &str, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(node) => node.add(replica),
            Self::Routed(node) => node.add_replica(now, replica, zone, commands),
        }
    }

    /// A replica takes no new work.
    pub fn drain(&mut self, now: Millis, replica: usize, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(node) => node.remove(replica),
            Self::Routed(node) => node.drain(now, replica, commands),
        }
    }

    /// A call comes.
    pub fn arrive(&mut self, now: Millis, request: Request, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(node) => commands.push(node.choose(request.call)),
            Self::Routed(node) => node.arrive(now, request, commands),
        }
    }

    /// The first token of a dispatch came.
    pub fn first_token(&mut self, now: Millis, dispatch: Dispatch, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(_) => {}
            Self::Routed(node) => node.first_token(now, dispatch, commands),
        }
    }

    /// A dispatch ended.
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

    /// A replica's report came in.
    pub fn report(&mut self, now: Millis, replica: usize, report: Report, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(_) => {}
            Self::Routed(node) => node.report(now, replica, report, commands),
        }
    }

    /// A replica's cache took a prefix in or dropped it.
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

    /// Time passed.
    pub fn tick(&mut self, now: Millis, commands: &mut Vec<Command>) {
        match self {
            Self::Baseline(_) => {}
            Self::Routed(node) => node.tick(now, commands),
        }
    }

    /// When a timer is due.
    pub fn wake_at(&self) -> Option<Millis> {
        match self {
            Self::Baseline(_) => None,
            Self::Routed(node) => node.wake_at(),
        }
    }
}
