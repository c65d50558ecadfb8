//! Findings of a check, each with its place.

use std::fmt;

/// How grave a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The catalogue works, but probably not as meant.
    Warning,
    /// The catalogue can't be applied.
    Error,
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How grave it is.
    pub severity: Severity,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What is wrong and what to change.
    pub message: String,
}

impl Finding {
    /// A finding at the byte `offset` of `text`.
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

/// All findings of a check, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// No findings yet.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Adds a finding at its place.
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

    /// Whether the catalogue can't be applied.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(|finding| finding.severity == Severity::Error)
    }

    /// The findings.
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Whether there are none.
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
