//! Items that nodes disseminate: small records, each with a key and an increasing version.

use base::{Incarnation, Name};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::generation::Head;
use crate::node::Node;

/// One run of a VM, as identified by the VM list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Name,
    /// The incarnation; a new VM with the same name has a different one.
    pub incarnation: Incarnation,
}

/// Identifies an item. Of two items with the same key, the one with the higher version wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The catalogue's head.
    Head,
    /// A node's state.
    Node(Incarnation),
    /// The mark of a leaving VM and the replicas on it.
    Mark(Vm),
    /// A veto against a version, by the veto's identifier.
    Veto(u64),
    /// Progress of an availability zone, by the incarnation of the collector that counted it.
    Applied(Incarnation),
    /// A demand report, by an identifier that the reporter chooses.
    Demand(u64),
}

/// The kind of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The catalogue's head.
    Head,
    /// Node states.
    Node,
    /// Marks of leaving VMs.
    Mark,
    /// Vetoes.
    Veto,
    /// Progress of availability zones.
    Applied,
    /// Demand reports.
    Demand,
}

impl Key {
    /// Returns the kind of the key.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Head => Kind::Head,
            Self::Node(_) => Kind::Node,
            Self::Mark(_) => Kind::Mark,
            Self::Veto(_) => Kind::Veto,
            Self::Applied(_) => Kind::Applied,
            Self::Demand(_) => Kind::Demand,
        }
    }
}

/// A node's state. Only the node itself increments `sequence`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The registration.
    pub node: Node,
    /// Incremented by the node at each change of its state and to refute a suspicion.
    #[serde(rename = "beat")]
    pub sequence: u32,
    /// Whether the node has announced that it will stop.
    pub leaving: bool,
    /// Whether a watcher has missed the node's heartbeats.
    pub suspect: bool,
    /// Whether the incarnation has ended.
    pub gone: bool,
}

/// Progress of an availability zone, as counted by one of its collectors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The region.
    pub region: Name,
    /// The availability zone.
    pub zone: Name,
    /// The highest generation applied by all counted nodes.
    pub generation: crate::Generation,
    /// Number of counted nodes.
    pub nodes: u32,
    /// Wrapping sum of the counted incarnations, which identifies the set of counted nodes.
    #[serde(rename = "sum")]
    pub incarnation_sum: u64,
    /// Incremented by the collector each time it publishes the progress.
    pub version: u32,
}

/// The content of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The catalogue's newest generation; its body is fetched by digest.
    Head(Head),
    /// A node's state.
    Status(Status),
    /// Replicas on this VM must receive no new work. `ended` is set once the VM has been missing from the VM list for
    /// long enough.
    Mark {
        /// The VM.
        vm: Vm,
        /// Whether the VM is known to have ended.
        ended: bool,
    },
    /// A veto with its evidence, which is opaque to this crate. Vetoes form a grow-only set.
    Veto {
        /// Identifies the veto.
        id: u64,
        /// The evidence.
        evidence: Bytes,
    },
    /// Progress of an availability zone.
    Applied {
        /// The collector that counted the zone.
        collector: Incarnation,
        /// The counted progress.
        applied: Applied,
    },
    /// A report of demand by workspace, which is opaque to this crate.
    Demand {
        /// Identifies the series of reports.
        id: u64,
        /// Position of the report within its series.
        version: u64,
        /// The report.
        report: Bytes,
    },
}

impl Body {
    /// Returns the key that the body is stored under.
    pub fn key(&self) -> Key {
        match self {
            Self::Head(_) => Key::Head,
            Self::Status(status) => Key::Node(status.node.incarnation),
            Self::Mark { vm, .. } => Key::Mark(vm.clone()),
            Self::Veto { id, .. } => Key::Veto(*id),
            Self::Applied { collector, .. } => Key::Applied(*collector),
            Self::Demand { id, .. } => Key::Demand(*id),
        }
    }

    /// Returns the version, which orders the bodies of one key.
    pub fn version(&self) -> u64 {
        match self {
            Self::Head(head) => head.generation.0,
            Self::Status(status) if status.gone => GONE_VERSION,
            Self::Status(status) => u64::from(status.sequence) * 2 + u64::from(status.suspect),
            Self::Mark { ended, .. } => u64::from(*ended),
            Self::Veto { .. } => 0,
            Self::Applied { applied, .. } => u64::from(applied.version),
            Self::Demand { version, .. } => *version,
        }
    }
}

/// Version of the `gone` state, higher than that of any other state.
const GONE_VERSION: u64 = u32::MAX as u64 * 2 + 2;

/// A body in transit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The content.
    pub body: Body,
    /// Time since the body was published, in milliseconds, excluding network transit.
    pub age: u32,
    /// Remaining number of times that the item may be forwarded.
    pub hops: u8,
}
