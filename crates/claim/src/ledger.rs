//! Keys chosen by callers, claimed in the platform's key-value service before dispatch.
//!
//! Claims are partitioned into shards, each with its own log. A log is a sequence of values
//! `claims/{shard}/{sequence}`. Each value is created only if absent, by a node that has applied every earlier one,
//! and holds everything that waits at that node (group commit). The log alone decides which node holds a key;
//! neither the preferred writer of the shard nor any clock does.

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

/// Claims of chosen keys as known to one node.
#[derive(Debug)]
pub struct Ledger {
    node: Incarnation,
    limits: Limits,
    generator: ::base::seed::Generator,
    draining: bool,
    logs: Vec<Log>,
    actions: Actions,
}

/// Current size of a ledger, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Claims held, of all nodes, in the shards that this node has read.
    pub claims: usize,
    /// Keys that wait for a claim or run at this node.
    pub open: usize,
    /// Results and releases that are not yet written.
    pub unwritten: usize,
    /// Bytes of recorded responses.
    pub bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger for `node`, which must differ at each start of the process.
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

    /// Sets the limits. Must be called before the first step.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self.logs = (0..limits.shards).map(|_| Log::new()).collect();
        self
    }

    /// Incarnation of the node that owns this ledger.
    pub const fn node(&self) -> Incarnation {
        self.node
    }

    /// Shard of a key.
    pub const fn shard(&self, key: Key) -> Shard {
        key.shard(self.limits.shards)
    }

    /// Current size of the ledger.
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

    /// Handles one event and returns the resulting actions.
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
