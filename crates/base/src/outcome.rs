//! Whether a request was executed, as reported to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request, sent with every response in the `bilberrylatch-outcome` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint responded, and the response is complete.
    Answered,
    /// The request was certainly not executed; it is safe to send it again.
    NotRun,
    /// A non-idempotent request may have been executed. This is final: it is never executed again.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
