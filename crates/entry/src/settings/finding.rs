//! What is wrong with the settings.

use std::fmt;

/// One setting that is not in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The variable.
    pub variable: String,
    /// Where its value was read.
    pub origin: String,
    /// What is wrong and what to write instead.
    pub cause: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.variable, self.origin, self.cause)
    }
}

/// All that is wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the settings are not in order:")?;
        self.0.iter().try_for_each(|finding| write!(f, "\n  {finding}"))
    }
}

impl std::error::Error for Findings {}
