//! VMs and reclaim notices, independent of I/O and the clock.

use base::Millis;
use indexmap::IndexMap;

use super::notice::Notice;
use super::vm::{State, Vm};
use crate::lagged::Lagged;

/// Current VMs, issued notices and the delayed VM list.
#[derive(Debug)]
pub struct Fleet {
    vms: IndexMap<String, Entry>,
    notices: Vec<IssuedNotice>,
    listed: Lagged<IndexMap<String, Entry>>,
}

#[derive(Clone, Debug)]
struct Entry {
    vm: Vm,
    deadline: Option<Millis>,
}

impl Entry {
    fn new(now: Millis, vm: Vm) -> Self {
        let deadline = vm.deadline_ms.map(|remaining_ms| now + Millis(remaining_ms));
        Self { vm, deadline }
    }
}

#[derive(Debug)]
struct IssuedNotice {
    issued_at: Millis,
    deadline: Millis,
    notice: Notice,
}

impl Fleet {
    /// Creates a fleet of these VMs, which its list shows at once. Changes are listed after `lag`.
    pub fn new<I>(lag: Millis, vms: I) -> Self
    where
        I: IntoIterator<Item = Vm>,
    {
        let vms: IndexMap<String, Entry> = vms
            .into_iter()
            .map(|vm| (vm.id.clone(), Entry::new(Millis::ZERO, vm)))
            .collect();
        Self {
            listed: Lagged::new(lag, vms.clone()),
            vms,
            notices: Vec::new(),
        }
    }

    /// Sets the lag of the VM list.
    pub fn set_lag(&mut self, lag: Millis) {
        self.listed.set_lag(lag);
    }

    /// Adds a VM, replacing any VM with the same id.
    pub fn insert(&mut self, now: Millis, vm: Vm) {
        self.vms.insert(vm.id.clone(), Entry::new(now, vm));
        self.publish(now);
    }

    /// Removes a VM. Returns false if it does not exist.
    pub fn remove(&mut self, now: Millis, id: &str) -> bool {
        let removed = self.vms.shift_remove(id).is_some();
        self.publish(now);
        removed
    }

    /// Issues a reclaim notice for a VM. Returns false if the VM does not exist.
    /// A further notice can only bring the deadline forward.
    pub fn issue_notice(&mut self, now: Millis, id: &str, notice_period: Millis) -> bool {
        let Some(entry) = self.vms.get_mut(id) else {
            return false;
        };
        let deadline = entry
            .deadline
            .map_or(now + notice_period, |earlier| earlier.min(now + notice_period));
        entry.deadline = Some(deadline);
        entry.vm.state = State::Leaving;
        let notice = Notice {
            number: self.notices.len() as u64 + 1,
            vm: id.to_owned(),
            kind: entry.vm.kind,
            incarnation: entry.vm.incarnation.clone(),
            remaining_ms: 0,
        };
        self.notices.push(IssuedNotice {
            issued_at: now,
            deadline,
            notice,
        });
        self.publish(now);
        true
    }

    /// Returns the ids of the reclaimable VMs in a zone.
    pub fn reclaimable(&self, zone: &str) -> Vec<String> {
        let entries = self.vms.values().filter(|entry| entry.vm.zone == zone);
        let reclaimable = entries.filter(|entry| entry.vm.reclaimable);
        reclaimable.map(|entry| entry.vm.id.clone()).collect()
    }

    /// Removes the VMs whose notice period has ended and returns their ids.
    pub fn remove_reclaimed(&mut self, now: Millis) -> Vec<String> {
        let is_due = |entry: &Entry| entry.deadline.is_some_and(|deadline| deadline <= now);
        let reclaimed = self.vms.values().filter(|entry| is_due(entry));
        let reclaimed = reclaimed.map(|entry| entry.vm.id.clone()).collect::<Vec<_>>();
        for id in &reclaimed {
            self.vms.shift_remove(id);
        }
        if !reclaimed.is_empty() {
            self.publish(now);
        }
        reclaimed
    }

    /// Returns the VM list as clients see it at `now`.
    pub fn list(&mut self, now: Millis) -> Vec<Vm> {
        let entries = self.listed.visible_at(now).values();
        entries.map(|entry| entry.snapshot(now)).collect()
    }

    /// Returns the notices with numbers above `after` that were issued at least `lag` ago.
    pub fn notices(&self, now: Millis, after: u64, lag: Millis) -> Vec<Notice> {
        let later = self.notices.iter().skip(after as usize);
        let visible = later.take_while(|issued| issued.issued_at + lag <= now);
        visible
            .map(|issued| Notice {
                remaining_ms: issued.deadline.since(now).0,
                ..issued.notice.clone()
            })
            .collect()
    }

    fn publish(&mut self, now: Millis) {
        self.listed.push(now, self.vms.clone());
    }
}

impl Entry {
    fn snapshot(&self, now: Millis) -> Vm {
        Vm {
            deadline_ms: self.deadline.map(|deadline| deadline.since(now).0),
            ..self.vm.clone()
        }
    }
}
