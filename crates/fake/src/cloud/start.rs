//! A VM to be started.

use serde::{Deserialize, Serialize};

/// What `POST /v1/vms` asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Endpoint to serve.
    pub endpoint: String,
    /// Availability zone.
    pub zone: String,
    /// Class of machine.
    pub class: String,
    /// Whether it may be reclaimed.
    #[serde(default)]
    pub reclaimable: bool,
    /// Version to serve.
    #[serde(default)]
    pub version: String,
    /// Model to serve.
    #[serde(default)]
    pub model: String,
}
