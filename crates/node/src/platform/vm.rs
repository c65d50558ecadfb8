//! VMs and notices in the format of the cloud's API.

use std::net::SocketAddr;

use base::{Incarnation, Name};
use serde::Deserialize;

use crate::actor::traffic::Replica;
use crate::actor::traffic::replica::Identity;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A node of this system.
    Node,
    /// A replica of an endpoint.
    Replica,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The VM is not being reclaimed.
    Live,
    /// The VM has received a reclaim notice.
    Leaving,
}

/// Entry of the VM list.
#[derive(Clone, Debug, Deserialize)]
pub struct Vm {
    /// Id of the VM in the cloud.
    pub id: Name,
    /// What runs on it.
    pub kind: Kind,
    /// Endpoint that its replica serves.
    pub endpoint: Name,
    /// Availability zone.
    pub zone: Name,
    /// VM class.
    pub class: Name,
    /// IP address and port.
    pub addr: String,
    /// Version that its replica runs.
    pub version: Name,
    /// State.
    pub state: State,
    /// Incarnation number, as 16 hexadecimal digits.
    pub incarnation: String,
    /// Milliseconds until the reclaim, if the VM is leaving.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// A reclaim notice.
#[derive(Clone, Debug, Deserialize)]
pub struct Notice {
    /// Sequence number of the notice.
    pub number: u64,
    /// Id of the VM.
    pub vm: Name,
    /// What runs on it.
    pub kind: Kind,
    /// Incarnation number of the VM.
    pub incarnation: String,
    /// Milliseconds until the reclaim.
    pub remaining_ms: u64,
}

/// Parses an incarnation number of the cloud's API; 0 if it is malformed.
pub fn parse_incarnation(text: &str) -> Incarnation {
    text.parse().unwrap_or(Incarnation(0))
}

impl Vm {
    /// The replica on this VM, if there is one and its address is valid.
    pub fn replica(&self) -> Option<Replica> {
        if self.kind != Kind::Replica {
            return None;
        }
        let address: SocketAddr = self.addr.parse().ok()?;
        Some(Replica {
            identity: Identity {
                vm: self.id.clone(),
                incarnation: parse_incarnation(&self.incarnation),
            },
            endpoint: self.endpoint.clone(),
            zone: self.zone.clone(),
            class: self.class.clone(),
            version: self.version.clone(),
            address,
            leaving: self.state == State::Leaving,
            key: None,
        })
    }
}
