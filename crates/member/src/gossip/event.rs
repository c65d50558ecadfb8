//! Events of [`Gossip`](crate::Gossip).

use base::Incarnation;
use bytes::Bytes;

use crate::Generation;
use crate::frame::Frame;
use crate::generation::Digest;
use crate::item::{Body, Vm};
use crate::node::Registration;

/// An input to the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A frame arrived from an authenticated peer.
    Receive(Frame),
    /// This node publishes an item to all nodes.
    Publish(Body),
    /// Periodic tick; expected every [`Settings::tick_interval`](super::Settings::tick_interval).
    Tick,
    /// A connection to the node was established.
    Reachable(Incarnation),
    /// A connection to the node failed.
    Unreachable(Incarnation),
    /// The platform returned all registrations, including expired ones.
    RegistrationsListed(Vec<Registration>),
    /// The cloud's VM list returned all VMs, live and leaving.
    VmsListed(Vec<Vm>),
    /// The cloud reported that the VM of this incarnation has ended.
    VmEnded(Incarnation),
    /// The platform answered a read of the head record with this generation.
    Confirmed(Generation),
    /// This node applied a generation, or started or stopped serving with it.
    Applied {
        /// The generation.
        generation: Generation,
        /// Whether the node serves with it.
        serving: bool,
    },
    /// Starts exchanges with a few peers immediately; used at startup and after a pause.
    Sync,
    /// Requests a chunk from one peer after another until it arrives.
    Fetch(Digest),
    /// Caches a chunk for peers that request it.
    Cache(Bytes),
    /// This node will stop and accepts no new work.
    Leaving,
    /// This node has finished its work and ends now.
    Stopped,
}
