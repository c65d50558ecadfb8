//! Key state that a stopping node transfers to a peer.

use base::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Completion, Fingerprint};

/// One piece of the exported key state of a home node.
///
/// A complete set of pieces certifies that every key in `low..next` without an entry never ran and never will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Node that issued the keys.
    pub home: Incarnation,
    /// Export that the piece belongs to. Pieces of different exports cannot be combined into a complete set.
    pub export: Export,
    /// Zero-based index of this piece.
    #[serde(rename = "piece")]
    pub index: u32,
    /// Total number of pieces in the export.
    pub pieces: u32,
    /// Low-water mark: whether keys below it ran is no longer known.
    pub low: u64,
    /// End of the certified numbers: the first number that was never issued, or `low` if the home node certifies none.
    pub next: u64,
    /// Keys that ran or may have run.
    pub entries: Vec<Entry>,
}

/// Identifies one export.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Node that made the export.
    #[serde(rename = "by")]
    pub node: Incarnation,
    /// Sequence number of the export at that node, starting from 1.
    pub number: u64,
}

/// One key that ran or may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Issue number of the key at its home node.
    pub number: u64,
    /// Fingerprint of the request that the key was first used with.
    pub fingerprint: Fingerprint,
    /// Result of its run.
    #[serde(rename = "fate")]
    pub completion: Completion,
}
