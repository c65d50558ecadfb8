//! Stored state of a key.

use bytes::Bytes;

/// Value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Revision of the last write.
    pub revision: u64,
    /// Stored value.
    pub value: Bytes,
    /// Id of the lease that the key is bound to.
    pub lease: Option<String>,
    /// Id of the last write.
    pub write_id: Option<String>,
}
