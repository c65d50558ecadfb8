//! Gossip messages between nodes. They are serde types; the caller chooses the codec.

use base::Incarnation;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Generation;
use crate::generation::Digest;
use crate::item::Item;
use crate::node::Node;

/// A message with the fields common to all messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: Incarnation,
    /// The newest answer of the platform that the sender knows of.
    pub confirmed: Option<Confirmed>,
    /// The message.
    pub message: Message,
}

/// An answer of the platform to some node: the head record was at `generation` when it was read, `age` ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The generation of the head record.
    pub generation: Generation,
    /// Time since the platform answered, in milliseconds, excluding network transit.
    pub age: u32,
}

/// Time since the last contact with an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneContact {
    /// Hash of the region's and the zone's names.
    pub zone: u32,
    /// Time since a message from a node of the zone, in milliseconds, excluding network transit.
    pub age: u32,
}

/// A change of a node's status, without the node's registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// The node.
    pub node: Incarnation,
    /// See [`Status::sequence`](crate::item::Status::sequence).
    #[serde(rename = "beat")]
    pub sequence: u32,
    /// See [`Status::leaving`](crate::item::Status::leaving).
    pub leaving: bool,
    /// See [`Status::suspect`](crate::item::Status::suspect).
    pub suspect: bool,
    /// See [`Status::gone`](crate::item::Status::gone).
    pub gone: bool,
    /// See [`Item::age`].
    pub age: u32,
    /// See [`Item::hops`].
    pub hops: u8,
}

/// The key and version of a stored item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of the key.
    pub key: u64,
    /// The version.
    pub version: u64,
}

/// The entries of one bucket of the item store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The bucket.
    pub bucket: u8,
    /// The items.
    pub entries: Vec<Entry>,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Introduces a node to a seed address from its settings.
    Join(Node),
    /// Tells the sender's watchers and collectors that it is alive, and which generation it has applied.
    Heartbeat {
        /// The applied generation.
        applied: Generation,
    },
    /// New items.
    Push {
        /// Complete items.
        items: Vec<Item>,
        /// Status changes of nodes that the receiver is likely to know.
        #[serde(rename = "briefs")]
        updates: Vec<StatusUpdate>,
    },
    /// Starts an exchange with one checksum per bucket.
    Sums {
        /// Echoed in every reply, so that the sender can discard replies to an earlier run or from before a pause.
        #[serde(rename = "round")]
        session: u32,
        /// Checksums of the buckets.
        sums: Vec<u32>,
        /// The last contact with each zone.
        #[serde(rename = "heard")]
        contacts: Vec<ZoneContact>,
    },
    /// Answers [`Sums`](Self::Sums) with the buckets that differ; none if all are equal.
    Differ {
        /// The session of the exchange.
        #[serde(rename = "round")]
        session: u32,
        /// The differing buckets, each with all its entries.
        listings: Vec<Listing>,
        /// The last contact with each zone.
        #[serde(rename = "heard")]
        contacts: Vec<ZoneContact>,
        /// The generation that the sender serves with; `None` if it serves no new work.
        serving: Option<Generation>,
    },
    /// Answers [`Differ`](Self::Differ): sends the items that the receiver lacks and requests those that the sender
    /// lacks.
    Delta {
        /// The session of the exchange.
        #[serde(rename = "round")]
        session: u32,
        /// The items.
        items: Vec<Item>,
        /// Key hashes of the items that the sender requests.
        #[serde(rename = "want")]
        requested: Vec<u64>,
        /// Whether items were left out to stay within the maximum frame size.
        #[serde(rename = "more")]
        truncated: bool,
        /// The generation that the sender serves with; `None` if it serves no new work.
        serving: Option<Generation>,
    },
    /// Requests a chunk of a catalogue body.
    Want(Digest),
    /// A chunk of a catalogue body.
    Chunk(Bytes),
    /// The sender does not have the requested chunk.
    Missing(Digest),
}
