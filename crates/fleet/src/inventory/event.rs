//! Events and actions of the inventory.

use base::Millis;
use member::item::Vm;

use super::Replica;
use crate::departures::Cause;

/// One entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The replica on the VM.
    pub replica: Replica,
    /// Whether the list reports the VM as leaving.
    pub leaving: bool,
}

/// Input to the inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The VM list was fetched. It lags behind, and entries may be missing temporarily.
    Listed(Vec<Entry>),
    /// The cloud announced that it will reclaim the VM.
    ReclaimNotice {
        /// The VM.
        vm: Vm,
        /// Time until the VM ends.
        remaining: Millis,
    },
    /// The replica refused a connection.
    ConnectionRefused(Vm),
    /// The replica answered a request, successfully or not.
    Answered(Vm),
    /// Another node reported the VM as leaving.
    PeerReport(Vm),
    /// No input other than the current time.
    Tick,
}

/// Output of the inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The replica may receive new requests.
    Available(Vm),
    /// The replica must not receive new requests; other nodes are to be told.
    Leaving {
        /// The VM.
        vm: Vm,
        /// Why the VM is leaving.
        cause: Cause,
        /// Latest time at which the VM ends, if known.
        deadline: Option<Millis>,
    },
    /// The replica must not receive new requests for a while because it refused a connection.
    Paused(Vm),
    /// The replica was missing from the VM list for too long and was removed.
    Removed(Vm),
}
