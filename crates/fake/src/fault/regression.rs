//! A bad version of an endpoint.

use serde::{Deserialize, Serialize};

/// How a bad version shows itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Requests fail with this status and do not run.
    Fail(u16),
    /// Requests take this much longer, in milliseconds.
    Slow(u64),
}

/// A bad version; every condition left out holds always.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Regression {
    /// What its requests meet.
    #[serde(rename = "badness")]
    pub effect: Effect,
    /// Only while this version is served.
    #[serde(default)]
    pub version: Option<String>,
    /// Only once so many requests have come since the fault was set.
    #[serde(default)]
    pub after_requests: u64,
    /// Only while more than so many requests are in flight.
    #[serde(default)]
    pub over_load: u64,
    /// Only on paths that start so.
    #[serde(default)]
    pub route: String,
}

/// A request as a bad version looks at it.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// Version that serves it.
    pub version: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Requests met before, since the fault was set.
    pub requests: u64,
    /// Requests in flight, with this one.
    pub in_flight: u64,
}

impl Regression {
    /// Whether the request meets the bad side of the version.
    pub fn applies(&self, conditions: Conditions<'_>) -> bool {
        self.version
            .as_deref()
            .is_none_or(|version| version == conditions.version)
            && conditions.requests >= self.after_requests
            && conditions.in_flight > self.over_load
            && conditions.path.starts_with(&self.route)
    }
}
