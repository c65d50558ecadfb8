//! A route: which requests go to which endpoints, and within which bounds.

use std::sync::Arc;

use base::Millis;

use crate::Kind;

/// One endpoint among those that share a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Its part of the requests, relative to the others'.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that its requests name.
    pub host: String,
    /// Start of the paths that it takes; ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time until the final answer.
    pub timeout: Millis,
    /// Time until the answer, or a stream's first event, that the caller hopes for.
    pub target_latency: Millis,
    /// Longest pause between two events that the caller hopes for.
    pub target_gap: Option<Millis>,
    /// Its priority, 0 first.
    pub priority: u8,
    /// Endpoints that share its requests.
    pub targets: Vec<Target>,
    /// Most replicas on which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Whether no API key is needed.
    pub public: bool,
}

impl Route {
    /// The endpoint for a draw that is spread evenly over all numbers; `None` if no endpoint has a weight.
    pub fn select_endpoint(&self, random: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remainder = random.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remainder < weight {
                return Some(&target.endpoint);
            }
            remainder -= weight;
        }
        None
    }
}
