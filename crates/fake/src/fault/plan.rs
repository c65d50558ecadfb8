//! Faults selected for a request.

use std::time::Duration;

use http::StatusCode;

/// Faults selected for one request, in the order in which they take effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Delay before the request runs.
    pub delay: Duration,
    /// Failure that replaces the run.
    pub failure_before_run: Option<Failure>,
    /// Delay between the run and the response.
    pub response_delay: Duration,
    /// Failure that replaces the response after the run.
    pub failure_after_run: Option<Failure>,
    /// Corruption of the response.
    pub corruption: Option<Corruption>,
}

/// Failure sent instead of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection is reset.
    Reset,
    /// The request is rejected as not run.
    Rejected,
    /// The request fails with this HTTP status.
    Status(StatusCode),
}

/// Corruption of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// The response echoes a dispatch id that belongs to no request.
    WrongDispatch,
    /// The previous response is sent instead.
    Crossed,
    /// The parts of the response are sent twice.
    Duplicate,
    /// The response ends early: a stream without its terminal event, a body before its `Content-Length`.
    Truncate,
    /// The connection is reset during the response.
    Cut,
}
