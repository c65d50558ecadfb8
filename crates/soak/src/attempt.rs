//! A request as its caller saw it.

use std::time::Duration;

use base::Millis;

/// Kind of the request's route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May be run again.
    Safe,
    /// Must not run twice.
    Unsafe,
    /// A stream that may go on at another replica.
    Stream,
}

impl Kind {
    /// Start of the path of its route.
    pub const fn path_prefix(self) -> &'static str {
        match self {
            Self::Safe => "/safe/",
            Self::Unsafe => "/unsafe/",
            Self::Stream => "/stream/",
        }
    }
}

/// API keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// Always allowed.
    First,
    /// Taken away and given back.
    Second,
}

impl Key {
    /// Its text.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "key-1",
            Self::Second => "key-2",
        }
    }
}

/// What the caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Whether the answer says when to come back.
    pub has_retry_after: bool,
    /// The replica's seal, if there was one.
    pub seal: Option<String>,
    /// The body; none if it was broken off.
    pub body: Option<String>,
}

/// How it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// No connection was to be had: nothing was sent.
    Unsent,
    /// The connection ended without an answer.
    Cut,
    /// The caller waited for an answer far beyond its deadline and gave up.
    Silent,
    /// Answered.
    Told(Response),
}

/// One request. Times count from the start of the run.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id, sent once only.
    pub id: String,
    /// Kind of its route.
    pub kind: Kind,
    /// Its API key.
    pub key: Key,
    /// The node that it was sent to.
    pub node: usize,
    /// When it was sent.
    pub sent: Millis,
    /// How long the caller said it would wait.
    pub patience: Duration,
    /// When it ended for the caller.
    pub ended: Millis,
    /// How it ended.
    pub end: End,
}

impl Attempt {
    /// Whether it was answered with success.
    pub fn is_success(&self) -> bool {
        matches!(&self.end, End::Told(response) if response.status == 200)
    }
}
