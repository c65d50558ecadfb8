//! VM offers.

use base::Name;

/// Purchase model of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Cheap, but may be reclaimed at any time, often a whole zone at once.
    Reclaimable,
    /// Runs until it is stopped.
    OnDemand,
}

/// VMs of one class and purchase model in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Offer {
    /// The VM class.
    pub class: Name,
    /// The availability zone.
    pub zone: Name,
    /// The purchase model.
    pub kind: Kind,
    /// Price of a VM per hour, in millionths of the currency unit.
    pub price: u64,
    /// Units of capacity that a VM provides within the latency target.
    pub units: u64,
    /// Maximum number of VMs.
    pub max: u64,
}
