//! Errors and warnings of a catalogue check, with their positions.

use std::fmt;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The catalogue can be applied, but probably does not do what was intended.
    Warning,
    /// The catalogue cannot be applied.
    Error,
}

/// An error or warning at a position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Error or warning.
    pub severity: Severity,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Describes the problem and how to fix it.
    pub message: String,
}

impl Finding {
    /// Creates a finding at the byte `offset` of `text`.
    pub fn new(severity: Severity, text: &str, offset: usize, message: String) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let column = before[line_start..].chars().count() + 1;
        Self {
            severity,
            line,
            column,
            message,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(f, "{}:{}: {label}: {}", self.line, self.column, self.message)
    }
}

/// All findings of a check, ordered by position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Inserts a finding, ordered by its position.
    pub fn push(&mut self, finding: Finding) {
        let position = |finding: &Finding| (finding.line, finding.column);
        let index = self
            .0
            .partition_point(|other| position(other) <= position(&finding));
        self.0.insert(index, finding);
    }

    /// Adds a finding at the byte `offset` of `text`.
    pub fn add(&mut self, severity: Severity, text: &str, offset: usize, message: &str) {
        self.push(Finding::new(severity, text, offset, message.to_owned()));
    }

    /// Whether there is an error, so that the catalogue cannot be applied.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(|finding| finding.severity == Severity::Error)
    }

    /// Returns the findings as a slice.
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
