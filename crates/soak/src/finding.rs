//! Guarantees and their violations.

use std::fmt;

/// A documented guarantee of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request that must not be repeated is executed at most once.
    Once,
    /// 408, 421, 429 and 503 mean that the request was not executed.
    NotRun,
    /// 429 and 503 carry a `retry-after` header.
    RetryAfter,
    /// A successful response is the replica's complete response to this request.
    Truth,
    /// The response arrives within the caller's timeout.
    Deadline,
    /// An accepted request gets a response.
    Lost,
    /// A revoked API key gives no access.
    Revoked,
    /// After SIGTERM a process exits on its own, in time and without an error.
    Exit,
    /// Once all faults have ended, every node serves.
    Recovery,
    /// A node stays within the memory of the smallest VM.
    Memory,
}

impl Rule {
    /// Whether a busy machine alone could violate the rule. Such rules are meant for runs that watch the machine's
    /// load.
    pub const fn is_timed(self) -> bool {
        matches!(self, Self::Deadline | Self::Exit | Self::Recovery)
    }
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Guarantee.
    pub rule: Rule,
    /// Observation that shows the violation.
    pub details: String,
}

impl Finding {
    /// Creates a finding.
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
