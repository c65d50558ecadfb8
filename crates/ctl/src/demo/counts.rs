//! Counts of the demo.

use std::fmt;

/// How the demo's requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answered, whole and right.
    pub answered: usize,
    /// Refused with `not-run`.
    pub refused: usize,
    /// Ended as `unknown`.
    pub unknown: usize,
    /// Without any answer.
    pub unanswered: usize,
    /// Answered with wrong bytes.
    pub wrong: usize,
}

impl Counts {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.unanswered += other.unanswered;
        self.wrong += other.wrong;
    }

    /// Whether every request had an answer, and none a wrong one.
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
