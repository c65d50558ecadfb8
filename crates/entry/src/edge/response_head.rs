//! A replica's answer, as far as its head decides anything.

use std::time::Duration;

use place::Load;

/// The head of a replica's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the replica says that it did not run the request.
    pub not_run: bool,
    /// Whether it names the request that it answers; `None` if it names none.
    pub matches_request: Option<bool>,
    /// Whether it carries the replica's signature.
    pub signed: bool,
    /// The replica's load.
    pub load: Option<Load>,
    /// How long the replica keeps the connection idle, if it says so.
    pub idle_timeout: Option<Duration>,
    /// Whether the replica closes the connection after it.
    pub closes: bool,
}
