//! The record of where a shard's log begins.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Where a log begins. Nothing below `first` is read any longer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Base {
    /// The first sequence number that counts; only grows.
    pub first: u64,
    /// Everything below is deleted.
    pub trimmed: u64,
}

impl Base {
    /// The value to write.
    ///
    /// # Panics
    ///
    /// Never: two numbers can always be encoded.
    pub fn encode(self) -> Bytes {
        let bytes = postcard::to_stdvec(&self).expect("two numbers can always be encoded");
        Bytes::from(bytes)
    }

    /// Reads a value back; nothing if it is not a base.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
