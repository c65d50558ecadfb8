//! What happens to [`Gossip`](crate::Gossip).

use base::Incarnation;
use bytes::Bytes;

use crate::Generation;
use crate::frame::Frame;
use crate::generation::Digest;
use crate::item::{Body, Vm};
use crate::node::Registration;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A frame arrived from an admitted peer.
    Receive(Frame),
    /// This node says something new; it is spread to all.
    Put(Body),
    /// Time passes; expected every [`Settings::tick`](super::Settings::tick).
    Tick,
    /// A connection to the node was made.
    Reachable(Incarnation),
    /// A connection to the node failed.
    Unreachable(Incarnation),
    /// The platform answered with all registrations, lapsed ones among them.
    Registered(Vec<Registration>),
    /// The VM list answered with all VMs, live and leaving.
    VmsListed(Vec<Vm>),
    /// The cloud says that the VM of this incarnation has ended.
    VmEnded(Incarnation),
    /// The platform answered with the generation of the head record.
    Confirmed(Generation),
    /// This node applied a generation, or began or ceased to serve with it.
    Applied {
        /// The generation.
        generation: Generation,
        /// Whether the node serves with it.
        serving: bool,
    },
    /// Asks a few peers for what they hold, at once: at the start and after a pause.
    Sync,
    /// Asks peers for a chunk, until one has it.
    Fetch(Digest),
    /// Holds a chunk for peers that ask for it.
    Cache(Bytes),
    /// This node will stop: it takes no new work.
    Leaving,
    /// This node has finished and ends now.
    Stopped,
}
