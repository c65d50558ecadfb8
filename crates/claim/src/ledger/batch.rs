//! One value of a shard's log.

use base::{Incarnation, Millis};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Key;
use crate::{Completion, Fingerprint};

/// Bytes that an entry takes beside its record.
const ENTRY_BYTES: usize = 80;

/// What is written at one sequence number.
///
/// A batch is composed by a node that has applied every sequence number before it, and is created only where there is
/// none. So each of its entries is decided in full knowledge of the log before it, and holds for every reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Batch {
    /// Names this write, so that a write whose answer was lost is told from another node's.
    pub id: WriteId,
    /// Time since the batch before was written, at least.
    pub span: Millis,
    /// What the batch says, in order.
    pub entries: Vec<Entry>,
}

/// The name of one write: no two writes have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WriteId {
    #[serde(rename = "by")]
    pub node: Incarnation,
    pub number: u64,
}

/// The name of one attempt to claim a key: no two have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimId {
    /// The only node that may run under this claim.
    #[serde(rename = "by")]
    pub node: Incarnation,
    /// Number of the attempt at that node and shard.
    pub number: u64,
}

/// One statement of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Entry {
    /// The key belongs to this ticket from here on. The writer knew it as free, expired, or its own and not run.
    Claim {
        key: Key,
        fingerprint: Fingerprint,
        #[serde(rename = "ticket")]
        claim_id: ClaimId,
    },
    /// The run under this ticket ended.
    Result {
        key: Key,
        #[serde(rename = "ticket")]
        claim_id: ClaimId,
        #[serde(rename = "fate")]
        completion: Completion,
    },
    /// Nothing ran under this ticket, and nothing will: the key is free again.
    Release {
        key: Key,
        #[serde(rename = "ticket")]
        claim_id: ClaimId,
    },
    /// A claim that still holds, written anew so that the log before it can go.
    #[serde(rename = "Kept")]
    Rewrite {
        key: Key,
        fingerprint: Fingerprint,
        #[serde(rename = "ticket")]
        claim_id: ClaimId,
        #[serde(rename = "fate")]
        completion: Option<Completion>,
        /// Age of the claim when the batch was composed, at least.
        age: Millis,
    },
}

impl Batch {
    pub const fn new(id: WriteId, span: Millis) -> Self {
        Self {
            id,
            span,
            entries: Vec::new(),
        }
    }

    /// The value to write.
    ///
    /// # Panics
    ///
    /// Never: the form has no maps of unknown length and no foreign types.
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_stdvec(self).expect("a batch can always be encoded");
        Bytes::from(bytes)
    }

    /// Reads a value back; nothing if it is not a batch.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl Entry {
    /// Upper bound of the entry's encoded size, in bytes.
    pub fn bytes(&self) -> usize {
        let completion = match self {
            Self::Claim { .. } | Self::Release { .. } => None,
            Self::Result { completion, .. } => Some(completion),
            Self::Rewrite { completion, .. } => completion.as_ref(),
        };
        ENTRY_BYTES + completion.map_or(0, Completion::encoded_bytes)
    }
}
