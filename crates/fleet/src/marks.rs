//! VMs that are leaving. A mark stays until the VM has ended; nothing takes it back.

use base::Millis;
use indexmap::IndexMap;
use member::item::Vm;

/// Why a VM counts as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The cloud gave notice of the reclaim.
    Notice,
    /// The VM list says so.
    List,
    /// It refused connections.
    Refused,
    /// A later run of the same VM was seen.
    Superseded,
    /// A peer said so.
    Peer,
}

/// A VM's mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Why it was set first.
    pub cause: Cause,
    /// When it was set.
    pub since: Millis,
}

/// The marks, oldest first.
#[derive(Clone, Debug)]
pub struct Marks {
    marks: IndexMap<Vm, Mark>,
    most: usize,
}

impl Marks {
    /// No marks; beyond `most` the oldest are forgotten.
    pub fn new(most: usize) -> Self {
        let marks = IndexMap::new();
        Self { marks, most }
    }

    /// Sets a mark; false if the VM has one.
    pub fn set(&mut self, now: Millis, vm: &Vm, cause: Cause) -> bool {
        if self.marks.contains_key(vm) {
            return false;
        }
        self.marks.insert(vm.clone(), Mark { cause, since: now });
        if self.marks.len() > self.most {
            self.marks.shift_remove_index(0);
        }
        true
    }

    /// The VM's mark.
    pub fn get(&self, vm: &Vm) -> Option<Mark> {
        self.marks.get(vm).copied()
    }

    /// Whether the VM is leaving.
    pub fn is_leaving(&self, vm: &Vm) -> bool {
        self.marks.contains_key(vm)
    }

    /// Number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether there are no marks.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}
