//! One key's stored state.

use bytes::Bytes;

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Revision of the last write.
    pub revision: u64,
    /// Stored bytes.
    pub value: Bytes,
    /// Lease that the key is bound to.
    pub lease: Option<String>,
    /// Identity of the last write.
    pub write_id: Option<String>,
}
