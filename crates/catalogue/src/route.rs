//! Routes of an endpoint.

use serde::{Deserialize, Serialize};

/// A method and path prefix, with the properties of its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path prefix, starting with a slash.
    pub path: String,
    /// Whether a request that may have been executed can safely be executed again.
    pub idempotent: bool,
    /// Whether the response is an event stream that can be resumed.
    pub stream: bool,
}

impl Route {
    /// Whether a request with `method` and `path` matches this route.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        let whole_segment = rest.is_empty() || rest.starts_with(['/', '?']) || self.path.ends_with('/');
        self.method == method && whole_segment
    }
}
