//! Result of a run as reported by its node.

use crate::Record;

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The endpoint sent a complete response.
    Answered(Record),
    /// Nothing was sent. Treated as [`Finish::Unknown`] if dispatch was granted.
    NotRun,
    /// The request may have run, and there is no complete response.
    Unknown,
}
