//! Problems found in the settings.

use std::fmt;

/// A problem with one setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the variable.
    pub variable: String,
    /// Where the value comes from.
    pub origin: String,
    /// What is wrong and how to fix it.
    pub cause: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.variable, self.origin, self.cause)
    }
}

/// All problems found in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid settings:")?;
        self.0.iter().try_for_each(|finding| write!(f, "\n  {finding}"))
    }
}

impl std::error::Error for Findings {}
