//! One node of a trial: takes in what happens and says what to do.

use base::Millis;
use route::Prefix;

use super::blind::Blind;
use super::routed::Routed;
use super::{Choice, Config};

/// What a node wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
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
pub struct Coming {
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
    Whole,
    /// After some tokens.
    Cut {
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
    Blind(Blind),
    /// Chooses by the router.
    Routed(Box<Routed>),
}

impl Node {
    /// Node number `index` under a policy.
    pub fn new(choice: Choice, config: &Config, index: usize, seed: base::Seed) -> Self {
        let seed = seed.derive(1_000 + index as u64);
        match choice {
            Choice::Random | Choice::RoundRobin | Choice::LeastInFlight => {
                Self::Blind(Blind::new(choice, seed))
            }
            Choice::RouterBlind => Self::Routed(Box::new(Routed::new(config, index, seed, false))),
            Choice::Router => Self::Routed(Box::new(Routed::new(config, index, seed, true))),
        }
    }

    /// A replica takes up work.
    pub fn add(&mut self, now: Millis, replica: usize, zone: &str, orders: &mut Vec<Order>) {
        match self {
            Self::Blind(node) => node.add(replica),
            Self::Routed(node) => node.add(now, replica, zone, orders),
        }
    }

    /// A replica takes no new work.
    pub fn leave(&mut self, now: Millis, replica: usize, orders: &mut Vec<Order>) {
        match self {
            Self::Blind(node) => node.leave(replica),
            Self::Routed(node) => node.leave(now, replica, orders),
        }
    }

    /// A call comes.
    pub fn arrive(&mut self, now: Millis, coming: Coming, orders: &mut Vec<Order>) {
        match self {
            Self::Blind(node) => orders.push(node.choose(coming.call)),
            Self::Routed(node) => node.arrive(now, coming, orders),
        }
    }

    /// The first token of a dispatch came.
    pub fn first_token(&mut self, now: Millis, dispatch: Dispatch, orders: &mut Vec<Order>) {
        match self {
            Self::Blind(_) => {}
            Self::Routed(node) => node.first_token(now, dispatch, orders),
        }
    }

    /// A dispatch ended.
    pub fn finish(&mut self, now: Millis, dispatch: Dispatch, end: End, orders: &mut Vec<Order>) {
        match self {
            Self::Blind(node) => {
                node.finish(dispatch.replica);
                if matches!(end, End::Cut { .. }) {
                    orders.push(node.choose(dispatch.call));
                }
            }
            Self::Routed(node) => node.finish(now, dispatch, end, orders),
        }
    }

    /// A replica's report came in.
    pub fn report(&mut self, now: Millis, replica: usize, report: Report, orders: &mut Vec<Order>) {
        match self {
            Self::Blind(_) => {}
            Self::Routed(node) => node.report(now, replica, report, orders),
        }
    }

    /// A replica's cache took a prefix in or dropped it.
    pub fn cached(
        &mut self,
        now: Millis,
        replica: usize,
        prefix: Prefix,
        stored: bool,
        orders: &mut Vec<Order>,
    ) {
        match self {
            Self::Blind(_) => {}
            Self::Routed(node) => node.cached(now, replica, prefix, stored, orders),
        }
    }

    /// Time passed.
    pub fn tick(&mut self, now: Millis, orders: &mut Vec<Order>) {
        match self {
            Self::Blind(_) => {}
            Self::Routed(node) => node.tick(now, orders),
        }
    }

    /// When a timer is due.
    pub fn wake_at(&self) -> Option<Millis> {
        match self {
            Self::Blind(_) => None,
            Self::Routed(node) => node.wake_at(),
        }
    }
}
