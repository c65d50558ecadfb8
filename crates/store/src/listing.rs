//! Listings of the records under a prefix.

use bytes::Bytes;

/// A listed record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Revision of the record.
    pub revision: u64,
    /// The value.
    pub value: Bytes,
}

/// Records under a prefix, and the revision of the service when they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The records, in key order.
    pub entries: Vec<Entry>,
    /// Revision of the service, from which a watch continues.
    pub revision: u64,
}
