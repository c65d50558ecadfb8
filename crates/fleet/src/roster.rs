//! The replicas and whether each may get new work.
//!
//! The VM list lags, notices come directly, and a refused connection may be the first sign of all. A replica that is
//! marked leaving stays so, whatever later lists say; only another incarnation of the VM is a new replica.

mod event;

use std::net::SocketAddr;

use base::{Millis, Name};
use indexmap::IndexMap;
use member::item::Vm;

pub use event::{Action, Entry, Event};

use crate::marks::{Cause, Marks};

/// The actions of one step.
pub type Actions = Vec<Action>;

/// A replica as the VM list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The VM and its incarnation.
    pub vm: Vm,
    /// The endpoint.
    pub endpoint: Name,
    /// The availability zone.
    pub zone: Name,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Bounds of the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// A replica missing from the list for this long is gone.
    pub gone_after: Millis,
    /// No new work for this long after a refused connection.
    pub pause: Millis,
    /// A replica that refuses this many connections without an answer between is leaving.
    pub refusals: u32,
    /// Most marks remembered.
    pub marks: usize,
}

impl Settings {
    /// The standard settings.
    pub const fn new() -> Self {
        Self {
            gone_after: Millis(60_000),
            pause: Millis(500),
            refusals: 3,
            marks: 32_768,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}

/// A replica and its state.
#[derive(Clone, Debug)]
struct Held {
    replica: Replica,
    listed: Millis,
    refusals: u32,
    paused_until: Option<Millis>,
}

/// The replicas known.
#[derive(Clone, Debug)]
pub struct Roster {
    settings: Settings,
    replicas: IndexMap<Vm, Held>,
    marks: Marks,
}

impl Roster {
    /// An empty roster.
    pub fn new(settings: Settings) -> Self {
        Self {
            replicas: IndexMap::new(),
            marks: Marks::new(settings.marks),
            settings,
        }
    }

    /// The marks.
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// All replicas that are not gone.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values().map(|held| &held.replica)
    }

    /// Whether the replica may get new work.
    pub fn is_up(&self, now: Millis, vm: &Vm) -> bool {
        let held = self.replicas.get(vm);
        let is_paused = |held: &Held| held.paused_until.is_some_and(|until| now < until);
        held.is_some_and(|held| !is_paused(held)) && !self.marks.is_leaving(vm)
    }

    /// Takes one event.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Listed(entries) => self.take_list(now, entries, &mut actions),
            Event::Notice { vm, left } => self.mark(now, &vm, Cause::Notice, Some(now + left), &mut actions),
            Event::Refused(vm) => self.refuse(now, &vm, &mut actions),
            Event::Answered(vm) => self.answer(&vm),
            Event::Marked(vm) => self.mark(now, &vm, Cause::Peer, None, &mut actions),
            Event::Tick => {}
        }
        self.resume(now, &mut actions);
        actions
    }

    fn take_list(&mut self, now: Millis, entries: Vec<Entry>, actions: &mut Actions) {
        for entry in entries {
            self.take_entry(now, entry, actions);
        }
        let bound = self.settings.gone_after;
        let is_gone = |held: &Held| now.since(held.listed) >= bound;
        let held = self.replicas.iter();
        let gone: Vec<Vm> = held.filter(|it| is_gone(it.1)).map(|it| it.0.clone()).collect();
        for vm in gone {
            self.replicas.swap_remove(&vm);
            actions.push(Action::Gone(vm));
        }
    }

    fn take_entry(&mut self, now: Millis, entry: Entry, actions: &mut Actions) {
        let Entry { replica, leaving } = entry;
        let vm = replica.vm.clone();
        if let Some(held) = self.replicas.get_mut(&vm) {
            held.listed = now;
        } else if self.marks.is_leaving(&vm) {
            // What was marked before it was listed, or is listed again after its end, is never up.
            return;
        } else {
            self.add(now, replica, actions);
        }
        if leaving {
            self.mark(now, &vm, Cause::List, None, actions);
        }
    }

    /// Adds a replica; earlier runs of the same VM have ended.
    fn add(&mut self, now: Millis, replica: Replica, actions: &mut Actions) {
        let vm = replica.vm.clone();
        let is_earlier = |it: &&Vm| it.name == vm.name;
        let earlier: Vec<Vm> = self.replicas.keys().filter(is_earlier).cloned().collect();
        for it in earlier {
            self.mark(now, &it, Cause::Superseded, None, actions);
        }
        let held = Held {
            replica,
            listed: now,
            refusals: 0,
            paused_until: None,
        };
        self.replicas.insert(vm.clone(), held);
        actions.push(Action::Up(vm));
    }

    fn mark(&mut self, now: Millis, vm: &Vm, cause: Cause, ends: Option<Millis>, actions: &mut Actions) {
        if self.marks.set(now, vm, cause) {
            let vm = vm.clone();
            actions.push(Action::Leaving { vm, cause, ends });
        }
    }

    fn refuse(&mut self, now: Millis, vm: &Vm, actions: &mut Actions) {
        let Some(held) = self.replicas.get_mut(vm) else {
            return;
        };
        held.refusals += 1;
        if held.refusals >= self.settings.refusals {
            self.mark(now, vm, Cause::Refused, None, actions);
            return;
        }
        held.paused_until = Some(now + self.settings.pause);
        if !self.marks.is_leaving(vm) {
            actions.push(Action::Paused(vm.clone()));
        }
    }

    fn answer(&mut self, vm: &Vm) {
        if let Some(held) = self.replicas.get_mut(vm) {
            held.refusals = 0;
        }
    }

    /// Lets paused replicas get work again, one connection at a time.
    fn resume(&mut self, now: Millis, actions: &mut Actions) {
        for (vm, held) in &mut self.replicas {
            if held.paused_until.is_some_and(|until| now >= until) {
                held.paused_until = None;
                if !self.marks.is_leaving(vm) {
                    actions.push(Action::Up(vm.clone()));
                }
            }
        }
    }
}
