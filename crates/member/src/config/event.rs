//! What happens to the configuration, and what it asks of its caller.

use crate::Generation;
use crate::frame::Confirmed;
use crate::gossip::Reach;

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passes; expected several times a second.
    Tick,
    /// Somebody told of this generation.
    Known(Generation),
    /// The body of this generation is here and has passed its checks.
    Fetched(Generation),
    /// The platform answered this node with the generation of the head record.
    Platform(Generation),
    /// The platform renewed this node's registration.
    Renewed,
    /// A peer told all it holds; it serves with this generation, or serves no new work.
    Peer(Option<Generation>),
    /// The platform's newest answer to anyone, as far as it is known here.
    Confirmed(Confirmed),
    /// How much of the fleet is in reach.
    Reach(Reach),
    /// This incarnation was declared gone.
    Fenced,
}

/// Something to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the platform for the head record, and peers for what they hold.
    Sync,
    /// Fetch the body of this generation, from a peer or from the platform.
    Fetch(Generation),
    /// Put this generation in force.
    Apply(Generation),
    /// This incarnation may have been declared gone: end it and start a new one.
    Fence,
}
