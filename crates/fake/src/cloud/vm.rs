//! VMs as the VM list shows them.

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

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The VM has started and no notice has been issued for it.
    #[default]
    Live,
    /// The VM will be reclaimed or stopped.
    Leaving,
}

/// Entry of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Vm {
    /// Id of the VM in the cloud.
    pub id: String,
    /// What runs on the VM.
    pub kind: Kind,
    /// Endpoint that the replica serves; empty for nodes.
    pub endpoint: String,
    /// Availability zone.
    pub zone: String,
    /// VM class.
    pub class: String,
    /// Whether the VM may be reclaimed.
    pub reclaimable: bool,
    /// IP address and port.
    pub addr: String,
    /// Version that the replica serves.
    pub version: String,
    /// Model that the replica serves; empty for plain services.
    pub model: String,
    /// Lifecycle state.
    pub state: State,
    /// Identifier of the VM's start: 16 hexadecimal digits.
    pub incarnation: String,
    /// Milliseconds until the VM is reclaimed, if it is leaving.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}
