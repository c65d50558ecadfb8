//! What happens to the roster, and what it tells.

use base::Millis;
use member::item::Vm;

use super::Replica;
use crate::departures::Cause;

/// One entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The replica on the VM.
    pub replica: Replica,
    /// Whether the list says that the VM is leaving.
    pub leaving: bool,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The VM list answered; it lags, and entries may be missing for a while.
    Listed(Vec<Entry>),
    /// The cloud gave notice: the VM ends within this span.
    ReclaimNotice {
        /// The VM.
        vm: Vm,
        /// Time left.
        remaining: Millis,
    },
    /// A connection was refused.
    ConnectionRefused(Vm),
    /// The replica answered something.
    Answered(Vm),
    /// A peer spread a mark.
    PeerReport(Vm),
    /// Time passes.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The replica may get work.
    Available(Vm),
    /// The replica may get no new work; the mark is to be spread.
    Leaving {
        /// The VM.
        vm: Vm,
        /// Why.
        cause: Cause,
        /// When the VM ends at the latest, if that is known.
        deadline: Option<Millis>,
    },
    /// The replica may get no new work for now: a connection was refused.
    Paused(Vm),
    /// The VM is off the list for long enough.
    Removed(Vm),
}
