//! Records read from the service.

use base::Revision;
use bytes::Bytes;

/// A value with the revision and id of the write that stored it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The value.
    pub value: Bytes,
    /// Revision of the write that stored it, in the era in which it was read.
    pub revision: Revision,
    /// Id of that write, chosen by the writer.
    pub write_id: String,
}
