//! Requests to start a VM.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/vms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Endpoint to serve.
    pub endpoint: String,
    /// Availability zone.
    pub zone: String,
    /// VM class.
    pub class: String,
    /// Whether the VM may be reclaimed.
    #[serde(default)]
    pub reclaimable: bool,
    /// Version to serve.
    #[serde(default)]
    pub version: String,
    /// Model to serve.
    #[serde(default)]
    pub model: String,
}
