//! Stored start position of a shard's log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Start of a log. Sequence numbers below `first` are no longer read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Base {
    /// First sequence number of the log. Never decreases.
    pub first: u64,
    /// Every sequence number below this one is deleted.
    pub trimmed: u64,
}

impl Base {
    /// Encodes the value to write.
    ///
    /// # Panics
    ///
    /// Never: encoding two integers cannot fail.
    pub fn encode(self) -> Bytes {
        let bytes = postcard::to_stdvec(&self).expect("encoding two integers cannot fail");
        Bytes::from(bytes)
    }

    /// Decodes a stored value. Returns `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
