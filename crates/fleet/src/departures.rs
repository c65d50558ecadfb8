//! VMs that are leaving. An entry is never withdrawn; only the capacity limit evicts old entries.

use base::Millis;
use indexmap::IndexMap;
use member::item::Vm;

/// Why a VM counts as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The cloud gave notice of the reclaim.
    ReclaimNotice,
    /// The VM list reports the VM as leaving.
    VmList,
    /// The VM refused several connections in a row.
    ConnectionsRefused,
    /// A newer incarnation of the same VM was listed.
    Superseded,
    /// Another node reported the VM as leaving.
    Peer,
}

/// Why and when a VM was first recorded as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The first cause that was reported.
    pub cause: Cause,
    /// When the departure was recorded.
    pub recorded_at: Millis,
}

/// The departures, oldest first.
#[derive(Clone, Debug)]
pub struct Departures {
    departures: IndexMap<Vm, Departure>,
    max: usize,
}

impl Departures {
    /// Creates an empty set that holds at most `max` departures and evicts the oldest beyond that.
    pub fn new(max: usize) -> Self {
        let departures = IndexMap::new();
        Self { departures, max }
    }

    /// Records a departure; returns false if the VM already has one.
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

    /// Returns the VM's departure, if there is one.
    pub fn get(&self, vm: &Vm) -> Option<Departure> {
        self.departures.get(vm).copied()
    }

    /// Returns whether the VM is leaving.
    pub fn is_leaving(&self, vm: &Vm) -> bool {
        self.departures.contains_key(vm)
    }

    /// Returns the number of departures.
    pub fn len(&self) -> usize {
        self.departures.len()
    }

    /// Returns whether there are no departures.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }
}
