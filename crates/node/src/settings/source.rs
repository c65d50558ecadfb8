//! Sources of a setting: its flag, else its environment variable, else its default.

use super::{Finding, Findings};

/// Prefix of all environment variables.
const PREFIX: &str = "BILBERRYLATCH_";

/// Reads settings and collects findings.
#[derive(Debug)]
pub struct Source<V> {
    variable: V,
    findings: Findings,
}

impl<V> Source<V>
where
    V: Fn(&str) -> Option<String>,
{
    /// Creates a source that looks up environment variables with `variable`.
    pub fn new(variable: V) -> Self {
        Self {
            variable,
            findings: Findings::default(),
        }
    }

    /// Reads the setting `name` with `parse`; returns `None` and adds a finding if it is missing or invalid.
    pub fn parse<T, P>(
        &mut self,
        name: &str,
        flag: Option<&str>,
        default: Option<&str>,
        allowed: &str,
        parse: P,
    ) -> Option<T>
    where
        P: Fn(&str) -> Option<T>,
    {
        let variable = format!("{PREFIX}{}", name.to_uppercase().replace('-', "_"));
        let (origin, text) = match (flag, (self.variable)(&variable)) {
            (Some(text), _) => (format!("--{name}"), Some(text.to_owned())),
            (None, Some(text)) => (variable, Some(text)),
            (None, None) => (format!("--{name} or {variable}"), default.map(str::to_owned)),
        };
        let parsed = text.as_deref().and_then(parse);
        if parsed.is_none() {
            self.findings.0.push(Finding {
                origin,
                value: text,
                allowed: allowed.to_owned(),
            });
        }
        parsed
    }

    /// Reads a secret, which has no flag. Findings never contain its value.
    pub fn variable_only<T, P>(&mut self, name: &str, allowed: &str, parse: P) -> Option<T>
    where
        P: Fn(&str) -> Option<T>,
    {
        let origin = format!("{PREFIX}{name}");
        let parsed = (self.variable)(&origin).as_deref().and_then(parse);
        if parsed.is_none() {
            self.findings.0.push(Finding {
                origin,
                value: None,
                allowed: allowed.to_owned(),
            });
        }
        parsed
    }

    /// Returns the findings.
    pub fn into_findings(self) -> Findings {
        self.findings
    }
}
