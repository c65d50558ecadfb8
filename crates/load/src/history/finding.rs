//! What a history breaks.

use std::fmt;

use serde::Serialize;

/// A broken promise, or a gap in the history itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A line is not a record.
    Malformed,
    /// A call was made twice under one id.
    #[serde(rename = "repeated-call")]
    DuplicateCall,
    /// A run or an end belongs to no call.
    #[serde(rename = "stray")]
    UnknownCall,
    /// A call has no end, or two.
    #[serde(rename = "ends")]
    EndCount,
    /// A call's end was not stated, and no later call makes it good.
    Lost,
    /// A non-idempotent request ran twice.
    DoubleRun,
    /// A call ran that was refused as not run.
    #[serde(rename = "not-run-ran")]
    RunDespiteRefusal,
    /// An answer holds another request's content.
    #[serde(rename = "swapped")]
    WrongContent,
    /// An answer was delivered as whole but is not.
    Truncated,
    /// An answer holds more than it should.
    Excess,
    /// Repeats of one key were answered differently.
    #[serde(rename = "differing")]
    InconsistentAnswers,
    /// A node applied a lower generation than before.
    #[serde(rename = "generation-back")]
    GenerationDecreased,
}

/// One finding with its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Line of the history, from 1.
    pub line: usize,
    /// What is broken.
    pub kind: Kind,
    /// The call, key, replica or node that it is about.
    #[serde(rename = "about")]
    pub subject: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.kind.as_str(), self.subject)
    }
}

impl Kind {
    /// Plain words for reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "not a record",
            Self::DuplicateCall => "call made twice under one id",
            Self::UnknownCall => "belongs to no call",
            Self::EndCount => "call without exactly one end",
            Self::Lost => "no outcome was stated",
            Self::DoubleRun => "non-idempotent request ran twice",
            Self::RunDespiteRefusal => "ran although refused as not run",
            Self::WrongContent => "answer of another request",
            Self::Truncated => "truncated answer delivered as whole",
            Self::Excess => "answer holds too much",
            Self::InconsistentAnswers => "repeats of one key answered differently",
            Self::GenerationDecreased => "configuration generation went back",
        }
    }
}
