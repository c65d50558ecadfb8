//! Changes reported by a watch.

use base::Revision;
use bytes::Bytes;

/// The write or deletion of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: Revision,
    /// Whether the record was deleted.
    pub deleted: bool,
    /// The written value; `None` for a deletion, or if the watches of the service report no values.
    pub value: Option<Bytes>,
}

/// The result of one watch call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, in revision order; empty if none occurred before the timeout.
    pub list: Vec<Change>,
    /// Revision from which the next watch continues.
    pub revision: Revision,
}
