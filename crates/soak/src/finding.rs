//! Broken promises.

use std::fmt;

/// A promise of the pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request that must not run twice ran at most once.
    Once,
    /// 408, 421, 429 and 503 mean that the request did not run.
    NotRun,
    /// 429 and 503 say when to come back.
    RetryAfter,
    /// What is answered with success is the replica's answer to this request, whole.
    Truth,
    /// The answer comes within the time that the caller waits.
    Deadline,
    /// A request that was taken is answered.
    Lost,
    /// An API key that was taken away opens nothing.
    Revoked,
    /// A process ends of itself, in time and without an error.
    Exit,
    /// Once nothing is wrong any more, every node serves.
    Recovery,
}

impl Rule {
    /// Whether a busy machine alone could break it: such rules are for runs that watch the load.
    pub const fn is_timed(self) -> bool {
        matches!(self, Self::Deadline | Self::Exit | Self::Recovery)
    }
}

/// A promise that was broken, and by what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The promise.
    pub rule: Rule,
    /// What was seen.
    pub details: String,
}

impl Finding {
    /// A finding with what was seen.
    pub fn new<S>(rule: Rule, details: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            rule,
            details: details.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.details)
    }
}
