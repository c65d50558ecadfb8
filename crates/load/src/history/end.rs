//! How a call ended for its caller.

use serde::{Deserialize, Serialize};

/// What the caller saw last of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The answer came and was whole in form.
    Answered,
    /// The endpoint's own answer was a failure, passed on whole.
    Failed,
    /// A refusal said that the request did not run.
    NotRun,
    /// A refusal said that the request may have run.
    Unknown,
    /// The connection was refused, so no byte was sent.
    Unreached,
    /// The connection broke, or time ran out, with no outcome stated.
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
