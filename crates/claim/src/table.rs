//! The keys that this node issued, and those it took over from nodes that stopped.

mod action;
mod arrive;
mod entry;
mod event;
mod export;
mod finish;
mod import;
mod limits;
mod memory;
mod run;
mod window;

use std::collections::BTreeSet;

use base::{Incarnation, Millis};
use indexmap::IndexMap;

pub use action::{Action, Actions};
pub use event::{Event, Home};
pub use finish::Finish;
pub use limits::Limits;

use crate::{Answer, Binding, Call, Handover, Reason, Secret};
use entry::Entry;
use import::Import;
use window::Window;

/// Issued keys at one node: the only place where a key of this incarnation is ever run.
#[derive(Debug)]
pub struct Table {
    home: Incarnation,
    secret: Secret,
    limits: Limits,
    window: Window,
    /// Keys that are running or may have run.
    entries: IndexMap<u64, Entry>,
    /// Numbers of entries whose run ended; the lowest are forgotten first.
    ended: BTreeSet<u64>,
    /// Numbers of entries whose answer is kept; the lowest are dropped first.
    recorded: BTreeSet<u64>,
    /// Bytes of answers kept in `entries`.
    bytes: usize,
    imports: IndexMap<Incarnation, Import>,
    phase: Phase,
    exports: u64,
    actions: Actions,
}

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Keys are issued and run.
    Open,
    /// Nothing is issued, and no run starts.
    Draining,
    /// Exported: runs that have sent nothing never will.
    Exported,
}

/// How much a table holds, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Keys of this home that are running.
    pub running: usize,
    /// Keys of this home that ran.
    pub ended: usize,
    /// Keys taken over from other homes.
    pub imported: usize,
    /// Bytes of recorded answers.
    pub bytes: usize,
}

impl Table {
    /// An empty table of the node `home`, whose number must be new at each start of the process.
    pub fn new(home: Incarnation, secret: Secret) -> Self {
        let limits = Limits::default();
        Self {
            home,
            secret,
            limits,
            window: Window::new(limits.lifetime),
            entries: IndexMap::new(),
            ended: BTreeSet::new(),
            recorded: BTreeSet::new(),
            bytes: 0,
            imports: IndexMap::new(),
            phase: Phase::Open,
            exports: 0,
            actions: Actions::new(),
        }
    }

    /// Sets the bounds; to be called before the first step.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self.window = Window::new(limits.lifetime);
        self
    }

    /// The node that this table belongs to.
    pub const fn home(&self) -> Incarnation {
        self.home
    }

    /// Takes one event in and says what to do.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        self.expire(now);
        match event {
            Event::Issue { call, binding } => self.issue(call, &binding),
            Event::Arrive {
                call,
                key,
                binding,
                fingerprint,
                home,
            } => self.arrive(call, key, &binding, fingerprint, home),
            Event::Dispatch { call, key } => self.dispatch(call, key),
            Event::Finish { call, key, result } => self.finish(call, key, result),
            Event::Disconnect { call, key } => self.disconnect(call, key),
            Event::Drain => self.phase = self.phase.max(Phase::Draining),
            Event::Import(piece) => self.import(now, piece),
            Event::Tick => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// How much the table holds.
    pub fn usage(&self) -> Usage {
        Usage {
            running: self.running(),
            ended: self.ended.len(),
            imported: self.imports.values().map(Import::len).sum(),
            bytes: self.bytes + self.imported_bytes(),
        }
    }

    fn issue(&mut self, call: Call, binding: &Binding) {
        if self.phase > Phase::Open {
            self.refuse(call, Reason::NodeStopping);
            return;
        }
        let number = self.window.issue();
        let key = self.secret.sign(self.home, number, binding);
        self.actions.push(Action::Issued { call, key });
    }

    fn import(&mut self, now: Millis, piece: Handover) {
        if piece.home == self.home {
            return;
        }
        self.imports
            .entry(piece.home)
            .or_insert_with(|| Import::new(now, &piece))
            .add(piece);
        self.enforce_limits();
    }

    fn running(&self) -> usize {
        self.entries.len() - self.ended.len()
    }

    fn refuse(&mut self, call: Call, reason: Reason) {
        self.answer(call, Answer::Refused(reason));
    }

    fn answer(&mut self, call: Call, answer: Answer) {
        self.actions.push(Action::Answer { call, answer });
    }
}
