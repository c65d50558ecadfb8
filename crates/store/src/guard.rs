//! Other records that a write rests on.

use base::Revision;

/// A record that must be unchanged for a write of another one to take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Guard {
    /// Key of the record.
    pub key: String,
    /// Its revision when the write was decided.
    pub revision: Revision,
}
