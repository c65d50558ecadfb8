//! A change that a watch reports.

/// A key whose record was written or deleted. The value is read apart, so that a watch stays small.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// Whether the record is gone.
    pub deleted: bool,
}
