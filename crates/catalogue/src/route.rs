//! Routes of an endpoint.

use serde::{Deserialize, Serialize};

/// A method and path prefix, and whether its requests may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// HTTP method, in capitals.
    pub method: String,
    /// Path prefix, starting with a slash.
    pub path: String,
    /// Whether a request that may have run can be run again without harm.
    pub idempotent: bool,
    /// Whether the answer is a stream of events that can be resumed.
    pub stream: bool,
}

impl Route {
    /// Whether a request for `method` and `path` takes this route.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        let whole_segment = rest.is_empty() || rest.starts_with(['/', '?']) || self.path.ends_with('/');
        self.method == method && whole_segment
    }
}
