//! The head of a replica's response.

use std::time::Duration;

use base::Millis;
use place::{Claim, Echo, Load};

/// What a replica says of itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Advice {
    /// Requests per second that it takes from all nodes combined, if it names a limit.
    pub rate_limit: Option<f64>,
    /// Whether it is leaving.
    pub leaves: bool,
    /// Requests that it can turn away in a second before it fails, if it says that it is brittle.
    pub brittleness: Option<u32>,
    /// Whether it turned this request away for want of room.
    pub had_no_room: bool,
    /// How long it wants no requests from this node, if it turned this one away.
    pub pause: Option<Millis>,
    /// For how long it is cold, if it says so.
    pub cold: Option<Millis>,
}

/// The decoded head of a replica's response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Whether the replica reports that it did not run the request.
    pub not_run: bool,
    /// The request id in the response.
    pub echo: Echo,
    /// Whether the response has the replica's signature.
    pub signed: bool,
    /// The load that the replica reports.
    pub load: Option<Load>,
    /// What the replica says of itself.
    pub advice: Advice,
    /// How long the replica keeps the connection idle, if it says so.
    pub idle_timeout: Option<Duration>,
    /// Whether the replica closes the connection after the response.
    pub closes: bool,
}

impl ResponseHead {
    /// What the response says of the request.
    pub const fn claim(&self) -> Claim {
        Claim::new(self.echo, self.not_run)
    }
}
