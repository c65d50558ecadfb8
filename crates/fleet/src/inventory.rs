//! Inventory of the replicas and whether each may receive new requests.
//!
//! The VM list lags behind, reclaim notices arrive directly, and a refused connection may be the first sign that a VM
//! is going away. A replica recorded as leaving stays leaving, whatever later lists report; only another incarnation of
//! the VM counts as a new replica.

mod event;

use std::net::SocketAddr;

use base::{Millis, Name};
use indexmap::IndexMap;
use member::item::Vm;

pub use event::{Action, Entry, Event};

use crate::departures::{Cause, Departures};

/// Actions that result from one event.
pub type Actions = Vec<Action>;

/// A replica as the VM list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The VM and its incarnation.
    pub vm: Vm,
    /// The endpoint that it serves.
    pub endpoint: Name,
    /// The availability zone.
    pub zone: Name,
    /// The address on which it listens.
    pub address: SocketAddr,
}

/// Timeouts and limits of the inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// A replica that is missing from the VM list for this long is removed.
    pub missing_timeout: Millis,
    /// Time without new requests after a refused connection.
    pub refusal_pause: Millis,
    /// A replica that refuses this many connections without an answer in between is recorded as leaving.
    pub max_refusals: u32,
    /// Maximum number of departures to remember.
    pub max_departures: usize,
}

impl Settings {
    /// Returns the default settings.
    pub const fn new() -> Self {
        Self {
            missing_timeout: Millis(60_000),
            refusal_pause: Millis(500),
            max_refusals: 3,
            max_departures: 32_768,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}

/// A replica and its connection state.
#[derive(Clone, Debug)]
struct Tracked {
    replica: Replica,
    last_listed: Millis,
    refusals: u32,
    paused_until: Option<Millis>,
}

/// The known replicas and the departures.
#[derive(Clone, Debug)]
pub struct Inventory {
    settings: Settings,
    replicas: IndexMap<Vm, Tracked>,
    departures: Departures,
}

impl Inventory {
    /// Creates an empty inventory.
    pub fn new(settings: Settings) -> Self {
        Self {
            replicas: IndexMap::new(),
            departures: Departures::new(settings.max_departures),
            settings,
        }
    }

    /// Returns the departures.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Iterates over the replicas, those that are leaving included.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values().map(|tracked| &tracked.replica)
    }

    /// Returns whether the replica may receive new requests.
    pub fn is_available(&self, now: Millis, vm: &Vm) -> bool {
        let tracked = self.replicas.get(vm);
        let is_paused = |tracked: &Tracked| tracked.paused_until.is_some_and(|until| now < until);
        tracked.is_some_and(|tracked| !is_paused(tracked)) && !self.departures.is_leaving(vm)
    }

    /// Applies one event and returns the resulting actions.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Listed(entries) => self.apply_list(now, entries, &mut actions),
            Event::ReclaimNotice { vm, remaining } => self.record_departure(
                now,
                &vm,
                Cause::ReclaimNotice,
                Some(now + remaining),
                &mut actions,
            ),
            Event::ConnectionRefused(vm) => self.record_refusal(now, &vm, &mut actions),
            Event::Answered(vm) => self.record_answer(&vm),
            Event::PeerReport(vm) => self.record_departure(now, &vm, Cause::Peer, None, &mut actions),
            Event::Tick => {}
        }
        self.resume(now, &mut actions);
        actions
    }

    fn apply_list(&mut self, now: Millis, entries: Vec<Entry>, actions: &mut Actions) {
        for entry in entries {
            self.apply_entry(now, entry, actions);
        }
        let timeout = self.settings.missing_timeout;
        let is_expired = |tracked: &Tracked| now.since(tracked.last_listed) >= timeout;
        let tracked = self.replicas.iter();
        let expired: Vec<Vm> = tracked
            .filter(|it| is_expired(it.1))
            .map(|it| it.0.clone())
            .collect();
        for vm in expired {
            self.replicas.swap_remove(&vm);
            actions.push(Action::Removed(vm));
        }
    }

    fn apply_entry(&mut self, now: Millis, entry: Entry, actions: &mut Actions) {
        let Entry { replica, leaving } = entry;
        let vm = replica.vm.clone();
        if let Some(tracked) = self.replicas.get_mut(&vm) {
            tracked.last_listed = now;
        } else if self.departures.is_leaving(&vm) {
            // A VM that was recorded as leaving before it was listed, or that is listed again after it ended, never
            // becomes available.
            return;
        } else {
            self.add(now, replica, actions);
        }
        if leaving {
            self.record_departure(now, &vm, Cause::VmList, None, actions);
        }
    }

    /// Adds a replica. Earlier incarnations of the same VM have ended and are recorded as leaving.
    fn add(&mut self, now: Millis, replica: Replica, actions: &mut Actions) {
        let vm = replica.vm.clone();
        let is_same_vm = |it: &&Vm| it.name == vm.name;
        let earlier: Vec<Vm> = self.replicas.keys().filter(is_same_vm).cloned().collect();
        for it in earlier {
            self.record_departure(now, &it, Cause::Superseded, None, actions);
        }
        let tracked = Tracked {
            replica,
            last_listed: now,
            refusals: 0,
            paused_until: None,
        };
        self.replicas.insert(vm.clone(), tracked);
        actions.push(Action::Available(vm));
    }

    fn record_departure(
        &mut self,
        now: Millis,
        vm: &Vm,
        cause: Cause,
        deadline: Option<Millis>,
        actions: &mut Actions,
    ) {
        if self.departures.record(now, vm, cause) {
            let vm = vm.clone();
            actions.push(Action::Leaving { vm, cause, deadline });
        }
    }

    fn record_refusal(&mut self, now: Millis, vm: &Vm, actions: &mut Actions) {
        let Some(tracked) = self.replicas.get_mut(vm) else {
            return;
        };
        tracked.refusals += 1;
        if tracked.refusals >= self.settings.max_refusals {
            self.record_departure(now, vm, Cause::ConnectionsRefused, None, actions);
            return;
        }
        tracked.paused_until = Some(now + self.settings.refusal_pause);
        if !self.departures.is_leaving(vm) {
            actions.push(Action::Paused(vm.clone()));
        }
    }

    fn record_answer(&mut self, vm: &Vm) {
        if let Some(tracked) = self.replicas.get_mut(vm) {
            tracked.refusals = 0;
        }
    }

    /// Makes replicas available again whose pause is over. The refusal count stays until the replica answers.
    fn resume(&mut self, now: Millis, actions: &mut Actions) {
        for (vm, tracked) in &mut self.replicas {
            if tracked.paused_until.is_some_and(|until| now >= until) {
                tracked.paused_until = None;
                if !self.departures.is_leaving(vm) {
                    actions.push(Action::Available(vm.clone()));
                }
            }
        }
    }
}
