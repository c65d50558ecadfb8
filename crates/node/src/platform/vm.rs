//! VMs and notices as the cloud's API writes them.

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

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It stays.
    Live,
    /// It has notice.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Vm {
    /// Identity in the cloud.
    pub id: Name,
    /// What runs on it.
    pub kind: Kind,
    /// Endpoint that its replica serves.
    pub endpoint: Name,
    /// Availability zone.
    pub zone: Name,
    /// VM class.
    pub class: Name,
    /// IP number and port.
    pub addr: String,
    /// Version that its replica runs.
    pub version: Name,
    /// Whether it stays.
    pub state: State,
    /// Number of the start, as 16 hexadecimal digits.
    pub incarnation: String,
    /// Milliseconds left until the reclaim, if it is leaving.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// A reclaim notice.
#[derive(Clone, Debug, Deserialize)]
pub struct Notice {
    /// Place in the order of notices.
    pub number: u64,
    /// The VM.
    pub vm: Name,
    /// What runs on it.
    pub kind: Kind,
    /// Number of its start.
    pub incarnation: String,
    /// Milliseconds left.
    pub remaining_ms: u64,
}

/// The run that a list or notice names.
pub fn parse_incarnation(text: &str) -> Incarnation {
    text.parse().unwrap_or(Incarnation(0))
}

impl Vm {
    /// The replica on this VM, if there is one and its address can be read.
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
