//! Messages between nodes; serde types, so that the wire's codec is the caller's choice.

use base::Incarnation;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Generation;
use crate::generation::Digest;
use crate::item::Item;
use crate::node::Node;

/// One message with what every message tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: Incarnation,
    /// What the sender knows of the platform.
    pub confirmed: Option<Confirmed>,
    /// The message.
    pub message: Message,
}

/// An answer of the platform that somebody received: the head was at `generation`, `age` ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The generation of the head record.
    pub generation: Generation,
    /// Time since the platform answered, in milliseconds, without the time on the wire.
    pub age: u32,
}

/// Time since anything was heard from an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneContact {
    /// Identifies the zone: the hash of its region's and its own name.
    pub zone: u32,
    /// Time since one of its nodes spoke, in milliseconds, without the time on the wire.
    pub age: u32,
}

/// A node's state without its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// The node.
    pub node: Incarnation,
    /// As in the full state.
    #[serde(rename = "beat")]
    pub sequence: u32,
    /// As in the full state.
    pub leaving: bool,
    /// As in the full state.
    pub suspect: bool,
    /// As in the full state.
    pub gone: bool,
    /// As in the item.
    pub age: u32,
    /// As in the item.
    pub hops: u8,
}

/// An item held, without its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of the key.
    pub key: u64,
    /// The version.
    pub version: u64,
}

/// The items in one bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The bucket.
    pub bucket: u8,
    /// The items.
    pub entries: Vec<Entry>,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A node introduces itself to an address from its settings.
    Join(Node),
    /// To the sender's watchers and collectors: it is alive and has applied this generation.
    Heartbeat {
        /// The applied generation.
        applied: Generation,
    },
    /// New items.
    Push {
        /// Items in full.
        items: Vec<Item>,
        /// Changed states of nodes that the receiver is likely to know.
        #[serde(rename = "briefs")]
        updates: Vec<StatusUpdate>,
    },
    /// Opens an exchange: one sum for each bucket of items.
    Sums {
        /// Echoed in all that follows: an answer to another run, or from before a pause, is told apart.
        #[serde(rename = "round")]
        session: u32,
        /// The sums.
        sums: Vec<u32>,
        /// When each zone was last heard.
        #[serde(rename = "heard")]
        contacts: Vec<ZoneContact>,
    },
    /// Answers sums: the buckets that differ, none if all is equal.
    Differ {
        /// The round of the sums.
        #[serde(rename = "round")]
        session: u32,
        /// The buckets, each with all its entries.
        listings: Vec<Listing>,
        /// When each zone was last heard.
        #[serde(rename = "heard")]
        contacts: Vec<ZoneContact>,
        /// The generation with which the sender serves; `None` if it serves no new work.
        serving: Option<Generation>,
    },
    /// Answers differing buckets: items that the other lacks, and the keys of those that the sender lacks.
    Delta {
        /// The round of the sums.
        #[serde(rename = "round")]
        session: u32,
        /// The items.
        items: Vec<Item>,
        /// Hashes of the keys that the sender asks for.
        #[serde(rename = "want")]
        requested: Vec<u64>,
        /// Whether more would have been sent but for the bound on a frame.
        #[serde(rename = "more")]
        truncated: bool,
        /// The generation with which the sender serves; `None` if it serves no new work.
        serving: Option<Generation>,
    },
    /// Asks for a chunk of a body.
    Want(Digest),
    /// A chunk of a body.
    Chunk(Bytes),
    /// The chunk that was asked for isn't held.
    Missing(Digest),
}
