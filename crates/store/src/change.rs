//! Changes that a watch reports.

use bytes::Bytes;

/// A key whose record was written or deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// Whether the record is gone.
    pub deleted: bool,
    /// The value as written; `None` for a deletion, and where the service's watches carry no values.
    pub value: Option<Bytes>,
}

/// What one watch call answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, in the order of their revisions; empty if there were none in time.
    pub list: Vec<Change>,
    /// Revision after which the next watch goes on.
    pub revision: u64,
}
