//! A record as read.

use bytes::Bytes;

/// A value with the revision and id of the write that put it there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The value.
    pub value: Bytes,
    /// Revision of the write that put it there; grows with each write to the service.
    pub revision: u64,
    /// Id of that write, as the writer chose it.
    pub write_id: String,
}
