//! A VM as the list shows it.

use serde::{Deserialize, Serialize};

/// What runs on a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A node of the system.
    Node,
    /// A replica of an endpoint.
    #[default]
    Replica,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It has started and has no notice.
    #[default]
    Live,
    /// It is to be reclaimed or stopped.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Vm {
    /// Identity in the cloud.
    pub id: String,
    /// What runs on it.
    pub kind: Kind,
    /// Endpoint that its replica serves; empty for nodes.
    pub endpoint: String,
    /// Availability zone.
    pub zone: String,
    /// Class of machine.
    pub class: String,
    /// Whether it may be reclaimed.
    pub reclaimable: bool,
    /// IP number and port.
    pub addr: String,
    /// Version that its replica serves.
    pub version: String,
    /// Model that its replica serves; empty for plain services.
    pub model: String,
    /// Whether it stays.
    pub state: State,
    /// Number of the start, as 16 hexadecimal digits.
    pub incarnation: String,
    /// Milliseconds left until the reclaim, if it is leaving.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}
