//! A page of keys under a prefix.

use bytes::Bytes;

/// One listed record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Revision of the record.
    pub revision: u64,
    /// The value.
    pub value: Bytes,
}

/// Records under a prefix, and the revision of the service at the time of reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The records, in key order.
    pub entries: Vec<Entry>,
    /// The service's revision: where a watch goes on.
    pub revision: u64,
}
