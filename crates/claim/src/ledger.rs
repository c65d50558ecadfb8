//! Keys that callers chose, claimed in the platform's key-value service before dispatch.
//!
//! Claims are spread over a few logs, the shards. A log is a row of values `claims/{shard}/{sequence}`, each created
//! only if absent by a node that has applied every one before it. Everything that waits at a node goes into one
//! value (group commit). Who claimed a key is decided by the log alone: not by who the preferred writer is, and not
//! by any clock.

mod action;
mod base;
mod batch;
mod claim;
mod clock;
mod context;
mod event;
mod key;
mod limits;
mod log;
mod shard;

use ::base::{Incarnation, Millis, Seed};
use rand::Rng as _;

pub use action::{Action, Actions};
pub use event::{BaseDone, Event, ReadDone, Version, WriteDone};
pub use key::Key;
pub use limits::Limits;
pub use shard::Shard;

pub use crate::table::Finish;
use context::Context;
use log::Log;

/// Claims of chosen keys as one node sees them.
#[derive(Debug)]
pub struct Ledger {
    node: Incarnation,
    limits: Limits,
    generator: ::base::seed::Generator,
    draining: bool,
    logs: Vec<Log>,
    actions: Actions,
}

/// How much a ledger holds, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Claims in force, of all nodes, in the shards read here.
    pub claims: usize,
    /// Keys that wait for a claim or run here.
    pub open: usize,
    /// Results and releases that are not yet written.
    pub unwritten: usize,
    /// Bytes of recorded answers.
    pub bytes: usize,
}

impl Ledger {
    /// An empty ledger of the node `by`, whose number must be new at each start of the process.
    pub fn new(node: Incarnation, seed: Seed) -> Self {
        Self {
            node,
            limits: Limits::default(),
            generator: seed.generator(),
            draining: false,
            logs: Vec::new(),
            actions: Actions::new(),
        }
        .with_limits(Limits::default())
    }

    /// Sets the bounds; to be called before the first step.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self.logs = (0..limits.shards).map(|_| Log::new()).collect();
        self
    }

    /// The node that this ledger belongs to.
    pub const fn node(&self) -> Incarnation {
        self.node
    }

    /// The shard of a key.
    pub const fn shard(&self, key: Key) -> Shard {
        key.shard(self.limits.shards)
    }

    /// How much the ledger holds.
    pub fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for log in &self.logs {
            usage.claims += log.claims();
            usage.open += log.open();
            usage.unwritten += log.unwritten();
            usage.bytes += log.bytes();
        }
        usage
    }

    /// Takes one event in and says what to do.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        match event {
            Event::Arrive { key, .. }
            | Event::Dispatch { key, .. }
            | Event::Finish { key, .. }
            | Event::Disconnect { key, .. } => self.step_shard(now, self.shard(key), event),
            Event::WriteDone { shard, .. }
            | Event::ReadDone { shard, .. }
            | Event::BaseDone { shard, .. }
            | Event::SwapDone { shard } => self.step_shard(now, shard, event),
            Event::Drain => {
                self.draining = true;
                self.step_all_shards(now, &Event::Drain);
            }
            Event::Tick => self.step_all_shards(now, &Event::Tick),
        }
        std::mem::take(&mut self.actions)
    }

    fn step_all_shards(&mut self, now: Millis, event: &Event) {
        for shard in 0..self.limits.shards {
            self.step_shard(now, Shard(shard), event.clone());
        }
    }

    fn step_shard(&mut self, now: Millis, shard: Shard, event: Event) {
        let Some(log) = self.logs.get_mut(usize::from(shard.0)) else {
            return;
        };
        let mut context = Context {
            now,
            node: self.node,
            shard,
            limits: &self.limits,
            draining: self.draining,
            random: self.generator.next_u64(),
            actions: &mut self.actions,
        };
        log.step(&mut context, event);
    }
}
