//! A request as its caller observed it.

use std::time::Duration;

use base::Millis;

/// Kind of route that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request may be executed more than once.
    Safe,
    /// The request must be executed at most once.
    Unsafe,
    /// A stream that may resume at another replica.
    Stream,
}

impl Kind {
    /// Path prefix of the route.
    pub const fn path_prefix(self) -> &'static str {
        match self {
            Self::Safe => "/safe/",
            Self::Unsafe => "/unsafe/",
            Self::Stream => "/stream/",
        }
    }
}

/// API key that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// Valid during the whole run.
    First,
    /// Revoked and restored by [`Fault::Key`](crate::plan::Fault::Key).
    Second,
}

impl Key {
    /// The key as it is sent.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "key-1",
            Self::Second => "key-2",
        }
    }
}

/// Response that the caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Whether the response has a `retry-after` header.
    pub has_retry_after: bool,
    /// Signature of the replica, if the response has one.
    pub seal: Option<String>,
    /// Body; `None` if it was truncated.
    pub body: Option<String>,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// No connection could be opened, so nothing was sent.
    Unsent,
    /// The connection closed before a response.
    Cut,
    /// The caller gave up because no complete response came until well after its deadline.
    Silent,
    /// The caller received a response.
    Told(Response),
}

/// A request and its outcome. Times are relative to the start of the run.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id, unique within the run.
    pub id: String,
    /// Kind of the route.
    pub kind: Kind,
    /// API key.
    pub key: Key,
    /// Index of the node that it was sent to.
    pub node: usize,
    /// When it was sent.
    pub sent: Millis,
    /// Timeout that the caller stated in the request.
    pub patience: Duration,
    /// When the caller got the outcome.
    pub ended: Millis,
    /// Outcome.
    pub end: End,
}

impl Attempt {
    /// Whether the response has status 200.
    pub fn is_success(&self) -> bool {
        matches!(&self.end, End::Told(response) if response.status == 200)
    }
}
