//! A route: which requests go to which endpoints, and with which timeouts and limits.

use std::sync::Arc;

use base::Millis;

use crate::Kind;

/// A weighted endpoint of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name that a request must carry.
    pub host: String,
    /// Prefix that a request path must have; ends with a slash.
    pub path_prefix: String,
    /// Whether requests may run more than once, and the form of the response.
    pub kind: Kind,
    /// Maximum time until the final response.
    pub timeout: Millis,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Millis,
    /// Target maximum gap between two events of a stream.
    pub target_gap: Option<Millis>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Endpoints among which the requests are split by weight.
    pub targets: Vec<Target>,
    /// Maximum number of replicas on which one request from a caller may run.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Regions in which requests may be processed; empty if they may be in any.
    pub allowed_regions: Vec<Arc<str>>,
}

impl Route {
    /// Selects an endpoint by weight from a uniformly distributed random number; `None` if no endpoint has a weight.
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
