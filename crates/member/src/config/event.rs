//! Events and actions of [`Config`](crate::Config).

use crate::Generation;
use crate::frame::Confirmed;
use crate::gossip::Reach;

/// An input to the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Periodic tick; expected several times per second.
    Tick,
    /// Any node announced this generation.
    Known(Generation),
    /// The body of this generation was fetched and validated.
    Fetched(Generation),
    /// The platform answered a read of the head record with this generation.
    Platform(Generation),
    /// The platform renewed this node's registration.
    Renewed,
    /// An exchange with a peer has completed. The peer serves with this generation; `None` if it serves no new work.
    Peer(Option<Generation>),
    /// The newest known answer of the platform to any node.
    Confirmed(Confirmed),
    /// The number of reachable nodes was updated.
    Reach(Reach),
    /// This incarnation was declared gone.
    Fenced,
}

/// An action for the caller to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request the head record from the platform, and start exchanges with peers.
    Sync,
    /// Fetch the body of this generation, from a peer or from the platform.
    Fetch(Generation),
    /// Make this generation the one in force on the node.
    Apply(Generation),
    /// End this incarnation, which may have been declared gone, and start a new one.
    Fence,
}
