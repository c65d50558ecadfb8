//! What [`Gossip`](crate::Gossip) asks of its caller.

use std::net::SocketAddr;

use base::Incarnation;
use bytes::Bytes;

use crate::Generation;
use crate::frame::Frame;
use crate::generation::Digest;
use crate::item::Body;

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame; losing it is allowed.
    Send {
        /// The peer's address.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A new item; each version of each key is told at most once.
    Learned(Body),
    /// A node's heartbeats arrive: it is new, or was suspect.
    NodeUp(Incarnation),
    /// A node will stop.
    NodeLeaving(Incarnation),
    /// A node's heartbeats have stopped.
    NodeSuspect(Incarnation),
    /// A node's incarnation has ended, irrevocably.
    NodeGone(Incarnation),
    /// A peer told all that it holds and this node lacked.
    Exchanged {
        /// The peer.
        peer: Incarnation,
        /// The generation with which the peer serves; `None` if it serves no new work.
        serving: Option<Generation>,
    },
    /// A chunk arrived whose digest is right.
    Fetched {
        /// The digest.
        digest: Digest,
        /// The chunk.
        bytes: Bytes,
    },
    /// This incarnation was declared gone: it must take no more work, and start anew.
    Fenced,
}
