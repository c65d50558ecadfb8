//! Outcome counts of the demo.

use std::fmt;

/// Numbers of requests by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answered completely and correctly.
    pub answered: usize,
    /// Refused with the outcome `not-run`.
    pub refused: usize,
    /// Ended with the outcome `unknown` or an `error` event.
    pub unknown: usize,
    /// No answer, or an error answer that states no outcome.
    pub unanswered: usize,
    /// Answered with wrong content, or with a stream that ended early.
    pub wrong: usize,
}

impl Counts {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.unanswered += other.unanswered;
        self.wrong += other.wrong;
    }

    /// Whether every request was answered, and none wrongly. Refused and unknown outcomes are allowed.
    pub const fn is_success(&self) -> bool {
        self.unanswered == 0 && self.wrong == 0
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.is_success() {
            writeln!(f, "unanswered {}, wrong {}", self.unanswered, self.wrong)?;
        }
        write!(
            f,
            "answered {}, refused {}, unknown {}",
            self.answered, self.refused, self.unknown
        )
    }
}
