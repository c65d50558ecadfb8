//! Values of a shard's log.

use base::{Incarnation, Millis};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Key;
use crate::{Completion, Fingerprint};

/// Upper bound of the encoded size of an entry without its completion, in bytes.
const ENTRY_BYTES: usize = 80;

/// Value at one sequence number.
///
/// A node composes a batch only after it has applied every earlier sequence number, and the write succeeds only if the
/// sequence number is still absent. Each entry is thus based on the complete log before it and valid for every reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Batch {
    /// Identifies the write, so that a node can distinguish its own write whose answer was lost from another node's.
    pub id: WriteId,
    /// Lower bound of the time since the previous batch was written.
    pub span: Millis,
    /// Entries in the order of application.
    pub entries: Vec<Entry>,
}

/// Unique identifier of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WriteId {
    #[serde(rename = "by")]
    pub node: Incarnation,
    pub number: u64,
}

/// Unique identifier of an attempt to claim a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimId {
    /// The only node that may run the request under this claim.
    #[serde(rename = "by")]
    pub node: Incarnation,
    /// Sequence number of the attempt at that node and shard.
    pub number: u64,
}

/// One entry of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Entry {
    /// The key is held by this claim from now on. As known to the writer, the key was free, its earlier claim had
    /// expired, or its earlier claim was the writer's own and never ran.
    Claim {
        key: Key,
        fingerprint: Fingerprint,
        #[serde(rename = "ticket")]
        claim_id: ClaimId,
    },
    /// The run under this claim ended.
    Result {
        key: Key,
        #[serde(rename = "ticket")]
        claim_id: ClaimId,
        #[serde(rename = "fate")]
        completion: Completion,
    },
    /// Nothing ran or will run under this claim: the key is free again.
    Release {
        key: Key,
        #[serde(rename = "ticket")]
        claim_id: ClaimId,
    },
    /// A live claim, rewritten so that the older part of the log can be deleted.
    #[serde(rename = "Kept")]
    Rewrite {
        key: Key,
        fingerprint: Fingerprint,
        #[serde(rename = "ticket")]
        claim_id: ClaimId,
        #[serde(rename = "fate")]
        completion: Option<Completion>,
        /// Lower bound of the age of the claim when the batch was composed.
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

    /// Encodes the value to write.
    ///
    /// # Panics
    ///
    /// Never: the types contain no maps of unknown length and no foreign types with fallible serializers.
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_stdvec(self).expect("encoding a batch cannot fail");
        Bytes::from(bytes)
    }

    /// Decodes a stored value. Returns `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl Entry {
    /// Upper bound of the encoded size, in bytes.
    pub fn bytes(&self) -> usize {
        let completion = match self {
            Self::Claim { .. } | Self::Release { .. } => None,
            Self::Result { completion, .. } => Some(completion),
            Self::Rewrite { completion, .. } => completion.as_ref(),
        };
        ENTRY_BYTES + completion.map_or(0, Completion::encoded_bytes)
    }
}
