//! The record of one run.

use serde::{Deserialize, Serialize};

use super::Echo;

/// One run of a request, recorded before its answer is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Place in the order of runs, from 1.
    pub number: u64,
    /// Method of the request.
    pub method: String,
    /// Path of the request, with a leading slash.
    pub path: String,
    /// Dispatch id that the request carried.
    pub dispatch: Option<String>,
    /// Idempotency key that the request carried.
    pub key: Option<String>,
    /// Identity of the request that the system passed on.
    pub request: Option<String>,
    /// Version that served it.
    pub version: String,
}

impl Run {
    /// A run whose number is not given yet.
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
