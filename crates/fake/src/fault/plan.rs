//! What one request will meet.

use std::time::Duration;

use http::StatusCode;

/// Faults drawn for one request, in the order in which they strike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Wait before it runs.
    pub delay: Duration,
    /// What it meets instead of a run.
    pub failure_before_run: Option<Failure>,
    /// Wait between the run and the answer.
    pub response_delay: Duration,
    /// What it meets instead of its answer, having run.
    pub failure_after_run: Option<Failure>,
    /// How its answer is changed.
    pub corruption: Option<Corruption>,
}

/// An answer that does not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection is reset.
    Reset,
    /// It is refused as not run.
    Rejected,
    /// A status takes its place.
    Status(StatusCode),
}

/// A change of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// It echoes the dispatch id of no request.
    WrongDispatch,
    /// The answer before is sent in its place.
    Crossed,
    /// Its parts are sent twice.
    Duplicate,
    /// It ends early in good form.
    Truncate,
    /// The connection is reset in the middle of it.
    Cut,
}
