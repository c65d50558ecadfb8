//! VMs that may be bought.

use base::Name;

/// How a VM is bought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Cheap, and taken back at any time, often a whole zone at once.
    Reclaimable,
    /// Kept until it is stopped.
    OnDemand,
}

/// VMs of one class, kind and zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Offer {
    /// The class.
    pub class: Name,
    /// The availability zone.
    pub zone: Name,
    /// How it is bought.
    pub kind: Kind,
    /// Price of a VM, in millionths of the currency an hour.
    pub price: u64,
    /// Units of capacity of a VM within the latency target.
    pub units: u64,
    /// Most VMs that may be had.
    pub max: u64,
}
