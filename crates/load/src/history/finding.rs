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
    RepeatedCall,
    /// A run or an end belongs to no call.
    Stray,
    /// A call has no end, or two.
    Ends,
    /// A call's end was not stated, and no later call makes it good.
    Lost,
    /// A non-idempotent request ran twice.
    DoubleRun,
    /// A call ran that was refused as not run.
    NotRunRan,
    /// An answer holds another request's content.
    Swapped,
    /// An answer was delivered as whole but is not.
    Truncated,
    /// An answer holds more than it should.
    Excess,
    /// Repeats of one key were answered differently.
    Differing,
    /// A node applied a lower generation than before.
    GenerationBack,
}

/// One finding with its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Line of the history, from 1.
    pub line: usize,
    /// What is broken.
    pub kind: Kind,
    /// The call, key, replica or node that it is about.
    pub about: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.kind.as_str(), self.about)
    }
}

impl Kind {
    /// Plain words for reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "not a record",
            Self::RepeatedCall => "call made twice under one id",
            Self::Stray => "belongs to no call",
            Self::Ends => "call without exactly one end",
            Self::Lost => "no outcome was stated",
            Self::DoubleRun => "non-idempotent request ran twice",
            Self::NotRunRan => "ran although refused as not run",
            Self::Swapped => "answer of another request",
            Self::Truncated => "truncated answer delivered as whole",
            Self::Excess => "answer holds too much",
            Self::Differing => "repeats of one key answered differently",
            Self::GenerationBack => "configuration generation went back",
        }
    }
}
