//! Actions of [`Gossip`](crate::Gossip).

use std::net::SocketAddr;

use base::Incarnation;
use bytes::Bytes;

use crate::Generation;
use crate::frame::Frame;
use crate::generation::Digest;
use crate::item::Body;

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame. It may be lost.
    Send {
        /// The peer's address.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A new item was learned. Each version of a key is reported at most once.
    Learned(Body),
    /// A node is alive: it is new or was suspect.
    NodeUp(Incarnation),
    /// A node has announced that it will stop.
    NodeLeaving(Incarnation),
    /// A node's heartbeats have stopped.
    NodeSuspect(Incarnation),
    /// A node's incarnation has ended permanently.
    NodeGone(Incarnation),
    /// An exchange has completed: the peer has sent every item that this node lacked.
    Exchanged {
        /// The peer.
        peer: Incarnation,
        /// The generation that the peer serves with; `None` if it serves no new work.
        serving: Option<Generation>,
    },
    /// A requested chunk is available and matches its digest.
    Fetched {
        /// The digest.
        digest: Digest,
        /// The chunk.
        bytes: Bytes,
    },
    /// This incarnation was declared gone: it must accept no more work and start a new incarnation.
    Fenced,
}
