//! The head of a replica's response.

use std::time::Duration;

use place::Load;

/// The decoded head of a replica's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the replica reports that it did not run the request.
    pub not_run: bool,
    /// Whether the request id in the response is that of the request; `None` if the response has none.
    pub matches_request: Option<bool>,
    /// Whether the response has the replica's signature.
    pub signed: bool,
    /// The load that the replica reports.
    pub load: Option<Load>,
    /// How long the replica keeps the connection idle, if it says so.
    pub idle_timeout: Option<Duration>,
    /// Whether the replica closes the connection after the response.
    pub closes: bool,
}
