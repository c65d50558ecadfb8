//! Findings of the history checker.

use std::fmt;

use serde::Serialize;

/// Kind of finding: a violated guarantee, or an inconsistency of the history itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A line is not a valid record.
    Malformed,
    /// Two calls have the same id.
    #[serde(rename = "repeated-call")]
    DuplicateCall,
    /// A run or an answer references an unknown call.
    #[serde(rename = "stray")]
    UnknownCall,
    /// A call has no answer record, or more than one.
    #[serde(rename = "ends")]
    EndCount,
    /// A call was lost without an outcome and was not retried.
    Lost,
    /// A non-idempotent request ran twice.
    DoubleRun,
    /// A call ran although it was refused with the outcome `not-run`.
    #[serde(rename = "not-run-ran")]
    RunDespiteRefusal,
    /// An answer contains the content of another request.
    #[serde(rename = "swapped")]
    WrongContent,
    /// A truncated answer was delivered as complete.
    Truncated,
    /// An answer has more parts than expected.
    Excess,
    /// Calls with the same idempotency key got different answers.
    #[serde(rename = "differing")]
    InconsistentAnswers,
    /// A node applied a lower generation than before.
    #[serde(rename = "generation-back")]
    GenerationDecreased,
}

/// A finding and the line it refers to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Line number in the history, starting at 1.
    pub line: usize,
    /// Kind of finding.
    pub kind: Kind,
    /// The call, key, replica or node concerned, or the parse error of a malformed line.
    #[serde(rename = "about")]
    pub subject: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.kind.as_str(), self.subject)
    }
}

impl Kind {
    /// Description shown in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "not a valid record",
            Self::DuplicateCall => "duplicate call id",
            Self::UnknownCall => "references an unknown call",
            Self::EndCount => "call without exactly one result",
            Self::Lost => "no outcome received and no retry",
            Self::DoubleRun => "non-idempotent request ran twice",
            Self::RunDespiteRefusal => "ran although refused with outcome not-run",
            Self::WrongContent => "content of another request",
            Self::Truncated => "truncated answer delivered as complete",
            Self::Excess => "answer longer than expected",
            Self::InconsistentAnswers => "different answers for one idempotency key",
            Self::GenerationDecreased => "configuration generation decreased",
        }
    }
}
