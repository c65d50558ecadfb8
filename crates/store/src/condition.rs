//! Conditions of writes.

use base::Revision;

/// The state that the record must be in for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The key has no record.
    Absent,
    /// The record has this revision.
    Revision(Revision),
    /// The write is unconditional.
    Any,
}
