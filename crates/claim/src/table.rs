//! Keys issued by this node, and keys imported from stopped nodes.

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

/// Issued keys at one node. A key is only ever run by the incarnation that issued it.
#[derive(Debug)]
pub struct Table {
    home: Incarnation,
    secret: Secret,
    limits: Limits,
    window: Window,
    /// Keys that are running or may have run, by issue number.
    entries: IndexMap<u64, Entry>,
    /// Numbers of entries whose run ended; the lowest are evicted first.
    ended: BTreeSet<u64>,
    /// Numbers of entries with a recorded response; the lowest are dropped first.
    recorded: BTreeSet<u64>,
    /// Bytes of recorded responses in `entries`.
    bytes: usize,
    imports: IndexMap<Incarnation, Import>,
    phase: Phase,
    /// Whether other nodes may have declared this node gone.
    fenced: bool,
    exports: u64,
    actions: Actions,
}

/// Shutdown phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Keys are issued and run.
    Open,
    /// No key is issued, and no run starts.
    Draining,
    /// The keys were exported; runs that have not been dispatched must not be.
    Exported,
}

/// Current size of a table, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Own keys that are running.
    pub running: usize,
    /// Own keys whose run ended.
    pub ended: usize,
    /// Keys imported from other nodes.
    pub imported: usize,
    /// Bytes of recorded responses.
    pub bytes: usize,
}

impl Table {
    /// Creates an empty table for the node `home`, which must differ at each start of the process.
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
            fenced: false,
            exports: 0,
            actions: Actions::new(),
        }
    }

    /// Sets the limits. Must be called before the first step.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self.window = Window::new(limits.lifetime);
        self
    }

    /// Incarnation of the node that owns this table.
    pub const fn home(&self) -> Incarnation {
        self.home
    }

    /// Handles one event and returns the resulting actions.
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
            Event::Fenced => self.fenced = true,
            Event::Import(piece) => self.import(now, piece),
            Event::Tick => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// Current size of the table.
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
