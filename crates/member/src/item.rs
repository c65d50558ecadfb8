//! What nodes tell each other: small records, each with a key and a version that only grows.

use base::{Incarnation, Name};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::generation::Head;
use crate::node::Node;

/// A VM's run, as the VM list names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Name,
    /// The VM's run; a new VM of the same name has another.
    pub incarnation: Incarnation,
}

/// Identifies an item: of two items with one key, the one with the higher version stays.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The catalogue's head.
    Head,
    /// A node's state.
    Node(Incarnation),
    /// The leaving mark of a VM and the replicas on it.
    Mark(Vm),
    /// A veto against a version.
    Veto(u64),
    /// How far the nodes of one availability zone have got, by the collector's incarnation.
    Applied(Incarnation),
    /// A report of demand, by an identifier that the reporter chooses.
    Demand(u64),
}

/// The kind of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The catalogue's head.
    Head,
    /// Nodes' states.
    Node,
    /// Leaving marks.
    Mark,
    /// Vetoes.
    Veto,
    /// Zones' counts.
    Applied,
    /// Reports of demand.
    Demand,
}

impl Key {
    /// The kind.
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

/// A node's state and its order among earlier ones: only the node itself raises `beat`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The registration.
    pub node: Node,
    /// Raised by the node itself, at each change and to refute a suspicion.
    #[serde(rename = "beat")]
    pub sequence: u32,
    /// Whether the node has said that it will stop.
    pub leaving: bool,
    /// Whether a watcher misses its heartbeats.
    pub suspect: bool,
    /// Whether the incarnation has ended.
    pub gone: bool,
}

/// How far the nodes of one availability zone have got, as its collector sees them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The region.
    pub region: Name,
    /// The availability zone.
    pub zone: Name,
    /// The highest generation that every node of the zone in `nodes` has applied.
    pub generation: crate::Generation,
    /// Number of nodes counted.
    pub nodes: u32,
    /// Sum of the counted incarnations, wrapping: tells whether the same nodes were counted.
    #[serde(rename = "sum")]
    pub incarnation_sum: u64,
    /// Raised by the collector at each change.
    pub version: u32,
}

/// What an item says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The catalogue's newest generation; its body is fetched by digest.
    Head(Head),
    /// A node's state.
    Status(Status),
    /// No new work to the replicas on this VM; `ended` once the VM has left the list for long enough.
    Mark {
        /// The VM.
        vm: Vm,
        /// Whether the VM is known to have ended.
        ended: bool,
    },
    /// A veto with its evidence, opaque here. Grow-only.
    Veto {
        /// Identifies the veto.
        id: u64,
        /// The evidence.
        evidence: Bytes,
    },
    /// How far one availability zone has got.
    Applied {
        /// The collector that counted.
        collector: Incarnation,
        /// The count.
        applied: Applied,
    },
    /// Demand by workspace, opaque here.
    Demand {
        /// Identifies the report's series.
        id: u64,
        /// Order within the series.
        version: u64,
        /// The report.
        report: Bytes,
    },
}

impl Body {
    /// The key under which this is kept.
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

    /// Order among the values of one key.
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

/// Above the version of every state but this.
const GONE_VERSION: u64 = u32::MAX as u64 * 2 + 2;

/// A body on its way, with the time since it was put.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What it says.
    pub body: Body,
    /// Time since it was put, in milliseconds, without the time on the wire.
    pub age: u32,
    /// How many more nodes may push it on.
    pub hops: u8,
}
