//! What a caller may conclude about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome stated with every response, in the `bilberrylatch-outcome` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint answered, and the answer is whole.
    Answered,
    /// The request truly did not run; it may be sent again.
    NotRun,
    /// A non-idempotent request may have run. This is final: it will never be run again.
    Unknown,
}

impl Outcome {
    /// The header's value.
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
