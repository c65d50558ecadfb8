//! Record of one run.

use serde::{Deserialize, Serialize};

use super::Echo;

/// One run of a request, recorded before the response is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Sequence number of the run, from 1.
    pub number: u64,
    /// HTTP method of the request.
    pub method: String,
    /// Path of the request, with a leading slash.
    pub path: String,
    /// Dispatch id that the request carried.
    pub dispatch: Option<String>,
    /// Idempotency key that the request carried.
    pub key: Option<String>,
    /// Id of the request, as forwarded by the system.
    pub request: Option<String>,
    /// Version that served the request.
    pub version: String,
}

impl Run {
    /// Creates a run whose number is not yet assigned.
    pub fn new(method: &str, path: &str, echo: &Echo) -> Self {
        Self {
            number: 0,
            method: method.to_owned(),
            path: path.to_owned(),
            dispatch: echo.dispatch.clone(),
            key: echo.key.clone(),
            request: echo.request.clone(),
            version: echo.version.clone(),
        }
    }
}
