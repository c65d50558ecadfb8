//! Result of a call as observed by the caller.

use serde::{Deserialize, Serialize};

/// Final result of a call as observed by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// A complete, well-formed answer arrived.
    Answered,
    /// The endpoint itself responded with an error, which was forwarded completely.
    Failed,
    /// The request was refused with the outcome `not-run`.
    NotRun,
    /// The request was refused with the outcome `unknown`; it may have run.
    Unknown,
    /// The connection could not be established; no data was sent.
    Unreached,
    /// The connection was closed or the call timed out before an outcome was received.
    Lost,
}

impl End {
    /// Label in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Unreached => "unreached",
            Self::Lost => "lost",
        }
    }
}
