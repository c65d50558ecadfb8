//! Changes of the store.

use base::Revision;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The write or deletion of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: Revision,
    /// The written value; `None` for a deletion.
    pub value: Option<Bytes>,
}
