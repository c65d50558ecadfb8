//! What a stopping node hands to a peer.

use base::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Completion, Fingerprint};

/// One piece of what a stopped home knows of its keys. All pieces together certify that every key from `low` to
/// below `next` that none of them names never ran, and never will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The home that issued the keys.
    pub home: Incarnation,
    /// The export that the piece belongs to; pieces of two exports don't add up to a whole.
    pub export: Export,
    /// Place of this piece, from 0.
    #[serde(rename = "piece")]
    pub index: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Low-water mark: what ran below it is no longer remembered.
    pub low: u64,
    /// The first number that was never issued.
    pub next: u64,
    /// Keys that ran or may have run.
    pub entries: Vec<Entry>,
}

/// One export of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The node that exported.
    #[serde(rename = "by")]
    pub node: Incarnation,
    /// Number of its export, from 1.
    pub number: u64,
}

/// One key that ran or may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key's number at its home.
    pub number: u64,
    /// The request that the key stands for.
    pub fingerprint: Fingerprint,
    /// How its run ended.
    #[serde(rename = "fate")]
    pub completion: Completion,
}
