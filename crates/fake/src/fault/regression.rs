//! Faults that a bad version of an endpoint shows.

use serde::{Deserialize, Serialize};

/// Effect of a regression on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Requests fail with this HTTP status without running.
    Fail(u16),
    /// Requests take this much longer, in milliseconds.
    Slow(u64),
}

/// Regression of a bad version. An omitted condition always holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Regression {
    /// Effect on the requests.
    #[serde(rename = "badness")]
    pub effect: Effect,
    /// Applies only while this version is served.
    #[serde(default)]
    pub version: Option<String>,
    /// Applies only once this many requests have arrived since the faults were set.
    #[serde(default)]
    pub after_requests: u64,
    /// Applies only while more than this many requests are in flight.
    #[serde(default)]
    pub over_load: u64,
    /// Applies only to paths with this prefix.
    #[serde(default)]
    pub route: String,
}

/// State of a request that decides whether a regression applies to it.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// Version that serves the request.
    pub version: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Number of earlier requests since the faults were set.
    pub requests: u64,
    /// Number of requests in flight, including this one.
    pub in_flight: u64,
}

impl Regression {
    /// Whether the regression applies to a request.
    pub fn applies(&self, conditions: Conditions<'_>) -> bool {
        self.version
            .as_deref()
            .is_none_or(|version| version == conditions.version)
            && conditions.requests >= self.after_requests
            && conditions.in_flight > self.over_load
            && conditions.path.starts_with(&self.route)
    }
}
