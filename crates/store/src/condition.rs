//! The condition under which a write takes effect.

/// What must hold of the record for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No record stands under the key.
    Absent,
    /// The record stands at this revision.
    Revision(u64),
    /// Whatever stands there is replaced.
    Any,
}
