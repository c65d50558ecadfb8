//! One shard's log as this node has read it, and what this node wants to add.

mod apply;
mod compose;
mod io;
mod op;
mod pending;
mod position;
mod run;
mod trim;

use std::collections::VecDeque;

use base::Millis;
use indexmap::IndexMap;

use super::base::Base;
use super::batch::Entry;
use super::claim::Claim;
use super::clock::Clock;
use super::context::Context;
use super::{Event, Key, Version};
use crate::Reason;
use op::Op;
use pending::{Deadline, Pending};
use position::Positions;
use run::Run;
use trim::Trim;

/// One shard at one node.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Every sequence number below is applied.
    next: u64,
    /// Ages of claims.
    clock: Clock,
    /// Claims in force.
    claims: IndexMap<Key, Claim>,
    /// Where each claim was last position.
    positions: Positions,
    /// Bytes of answers in `claims`.
    bytes: usize,
    /// Keys whose answers are kept, oldest first; may name keys that are gone.
    recorded: VecDeque<Key>,
    /// Keys to claim.
    pending: IndexMap<Key, Pending>,
    deadlines: VecDeque<Deadline>,
    /// Claimed keys that run here.
    runs: IndexMap<Key, Run>,
    /// Results and releases to write.
    unwritten: IndexMap<Key, Entry>,
    /// When the oldest note was made.
    unwritten_since: Millis,
    /// Number of the next ticket.
    next_claim: u64,
    /// Own tickets below may have run before the claims were forgotten here.
    forgotten_below: u64,
    /// Number of the next write.
    next_write: u64,
    op: Op,
    /// There may be more to read before a write makes sense.
    behind: bool,
    /// The last write met another node's.
    conflicted: bool,
    /// A write may have taken effect without this node knowing.
    indeterminate_write: bool,
    /// Last write that took effect.
    last_write: Option<Millis>,
    /// Start of the last read of the base.
    base_read_at: Option<Millis>,
    base: Base,
    version: Option<Version>,
    trims: VecDeque<Trim>,
    /// Earliest point of the next write.
    write_at: Millis,
    /// Earliest point of the next delete.
    delete_at: Millis,
    /// Earliest point of the next operation after a failure.
    retry_at: Millis,
    /// Failures in a row.
    failures: u32,
    /// Last use by a caller.
    last_used: Millis,
    /// Next look for expired claims.
    sweep_at: Millis,
}

impl Log {
    pub fn new() -> Self {
        Self {
            behind: true,
            ..Self::default()
        }
    }

    /// Takes one event in.
    pub fn step(&mut self, context: &mut Context<'_>, event: Event) {
        self.expire(context);
        match event {
            Event::Arrive {
                call,
                key,
                fingerprint,
            } => self.arrive(context, call, key, fingerprint),
            Event::Dispatch { call, key } => self.dispatch(context, call, key),
            Event::Finish { call, key, result } => self.finish(context, call, key, result),
            Event::Disconnect { call, key } => self.disconnect(call, key),
            Event::WriteDone { sequence, result, .. } => self.write_done(context, sequence, result),
            Event::ReadDone { sequence, result, .. } => self.read_done(context, sequence, result),
            Event::BaseDone { result, .. } => self.base_done(context, result),
            Event::SwapDone { .. } => self.swap_done(),
            Event::Drain => self.refuse_pending(context, Reason::NodeStopping),
            Event::Tick => self.tick(context),
        }
        self.start_next_operation(context);
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        self.sweep(context);
        self.trim(context);
        self.unload_idle(context);
    }

    /// Claims held.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Results and releases that are not yet written.
    pub fn unwritten(&self) -> usize {
        self.unwritten.len()
    }

    /// Calls and runs held.
    pub fn open(&self) -> usize {
        self.pending.len() + self.runs.len()
    }

    /// Bytes of recorded answers held.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Forgets what was read, but not what this node does: the log is read again from `first`.
    fn reset(&mut self, now: Millis, first: u64) {
        self.next = first;
        self.clock = Clock::new(now);
        self.claims.clear();
        self.positions.clear();
        self.recorded.clear();
        self.bytes = 0;
        self.forgotten_below = self.next_claim;
        self.behind = true;
    }
}
