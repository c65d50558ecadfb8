//! VMs that are leaving. A mark stays until the VM has ended; nothing takes it back.

use base::Millis;
use indexmap::IndexMap;
use member::item::Vm;

/// Why a VM counts as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The cloud gave notice of the reclaim.
    ReclaimNotice,
    /// The VM list says so.
    VmList,
    /// It refused connections.
    ConnectionsRefused,
    /// A later run of the same VM was seen.
    Superseded,
    /// A peer said so.
    Peer,
}

/// A VM's mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Why it was set first.
    pub cause: Cause,
    /// When it was set.
    pub recorded_at: Millis,
}

/// The marks, oldest first.
#[derive(Clone, Debug)]
pub struct Departures {
    departures: IndexMap<Vm, Departure>,
    max: usize,
}

impl Departures {
    /// No marks; beyond `most` the oldest are forgotten.
    pub fn new(max: usize) -> Self {
        let departures = IndexMap::new();
        Self { departures, max }
    }

    /// Sets a mark; false if the VM has one.
    pub fn record(&mut self, now: Millis, vm: &Vm, cause: Cause) -> bool {
        if self.departures.contains_key(vm) {
            return false;
        }
        self.departures.insert(
            vm.clone(),
            Departure {
                cause,
                recorded_at: now,
            },
        );
        if self.departures.len() > self.max {
            self.departures.shift_remove_index(0);
        }
        true
    }

    /// The VM's mark.
    pub fn get(&self, vm: &Vm) -> Option<Departure> {
        self.departures.get(vm).copied()
    }

    /// Whether the VM is leaving.
    pub fn is_leaving(&self, vm: &Vm) -> bool {
        self.departures.contains_key(vm)
    }

    /// Number of marks.
    pub fn len(&self) -> usize {
        self.departures.len()
    }

    /// Whether there are no marks.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }
}
