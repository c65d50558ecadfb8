//! Sources of settings: environment variables and a settings file.

use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;

use base::Millis;
use indexmap::IndexMap;

use super::{Finding, Findings, Settings};

/// Prefix of the variable names.
const PREFIX: &str = "BILBERRYLATCH_";
/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A variable's value and its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    text: String,
    origin: String,
}

/// Variables by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Source {
    entries: IndexMap<String, Entry>,
    findings: Vec<Finding>,
}

impl Source {
    /// Collects the daemon's variables from the environment.
    pub fn new<V>(variables: V) -> Self
    where
        V: IntoIterator<Item = (String, String)>,
    {
        let prefixed = variables.into_iter().filter(|(name, _)| name.starts_with(PREFIX));
        let entry = |text| Entry {
            text,
            origin: "environment".to_owned(),
        };
        Self {
            entries: prefixed.map(|(name, text)| (name, entry(text))).collect(),
            findings: Vec::new(),
        }
    }

    /// Adds the lines of a settings file, which take precedence over existing values.
    pub fn with_file(mut self, path: &str, text: &str) -> Self {
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let origin = format!("{path}, line {}", number + 1);
            let Some((name, value)) = line.split_once('=') else {
                self.findings.push(Finding {
                    variable: line.to_owned(),
                    origin,
                    cause: "expected NAME=value".to_owned(),
                });
                continue;
            };
            let text = value.trim().to_owned();
            self.entries
                .insert(name.trim().to_owned(), Entry { text, origin });
        }
        self
    }
}

/// Reads settings one by one and collects the problems.
#[derive(Debug)]
pub(super) struct Reader<'a> {
    source: &'a Source,
    findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    pub fn new(source: &'a Source) -> Self {
        Self {
            source,
            findings: source.findings.clone(),
        }
    }

    /// Returns the settings if there are no problems.
    pub fn finish(self, settings: Settings) -> Result<Settings, Findings> {
        if self.findings.is_empty() {
            Ok(settings)
        } else {
            Err(Findings(self.findings))
        }
    }

    /// Reads a required string.
    pub fn string(&mut self, name: &str) -> String {
        if let Some(entry) = self.entry(name) {
            return entry.text.clone();
        }
        self.report_missing(name);
        String::new()
    }

    /// Reads a string that may be missing, which is then empty.
    pub fn optional_string(&mut self, name: &str) -> String {
        self.entry(name)
            .map_or_else(String::new, |entry| entry.text.clone())
    }

    /// Reads a JSON object whose values are strings. It is empty if it is missing.
    pub fn json_object(&mut self, name: &str) -> IndexMap<String, String> {
        let Some(entry) = self.entry(name) else {
            return IndexMap::new();
        };
        match serde_json::from_str(&entry.text) {
            Ok(object) => object,
            Err(error) => {
                let cause = format!("expected a JSON object of strings: {error}");
                let origin = entry.origin.clone();
                self.report(name, origin, cause);
                IndexMap::new()
            }
        }
    }

    /// Reads a required address.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        if self.entry(name).is_none() {
            self.report_missing(name);
        }
        self.parse_or(name, unspecified)
    }

    /// Reads a duration in whole milliseconds.
    pub fn millis(&mut self, name: &str, default: u64) -> Millis {
        Millis(self.parse_or(name, default))
    }

    /// Reads a duration in seconds, which may have a fraction.
    pub fn seconds(&mut self, name: &str, default: f64) -> Millis {
        Millis((self.parse_or(name, default) * MILLIS_PER_SECOND) as u64)
    }

    /// Reads a value of any type that can be parsed.
    pub fn parse_or<T>(&mut self, name: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let Some(entry) = self.entry(name) else {
            return default;
        };
        match entry.text.parse() {
            Ok(value) => value,
            Err(error) => {
                let cause = format!("cannot parse \"{}\": {error}", entry.text);
                let origin = entry.origin.clone();
                self.report(name, origin, cause);
                default
            }
        }
    }

    /// The variable's entry; an empty value counts as missing.
    fn entry(&self, name: &str) -> Option<&'a Entry> {
        let entry = self.source.entries.get(&format!("{PREFIX}{name}"))?;
        (!entry.text.is_empty()).then_some(entry)
    }

    fn report_missing(&mut self, name: &str) {
        self.report(
            name,
            "environment and settings file".to_owned(),
            "required but not set".to_owned(),
        );
    }

    fn report(&mut self, name: &str, origin: String, cause: String) {
        self.findings.push(Finding {
            variable: format!("{PREFIX}{name}"),
            origin,
            cause,
        });
    }
}
