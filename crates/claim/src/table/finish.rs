//! How a run ends, as its node reports it.

use crate::Record;

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The endpoint's whole answer.
    Answered(Record),
    /// No byte left this node. Counts as [`Finish::Unknown`] if the run was granted its dispatch.
    NotRun,
    /// The request may have run, and there is no whole answer.
    Unknown,
}
