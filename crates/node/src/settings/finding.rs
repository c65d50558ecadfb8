//! Findings from checking the settings.

use std::fmt;

/// A setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Flag or environment variable that sets it.
    pub origin: String,
    /// The invalid value; `None` if it is missing or secret.
    pub value: Option<String>,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{}: '{value}' is not {}", self.origin, self.allowed),
            None => write!(
                f,
                "{}: missing or too short; set it to {}",
                self.origin, self.allowed
            ),
        }
    }
}

/// All findings of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
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
