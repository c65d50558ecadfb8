//! One shard's log as read by this node, and the entries that this node is about to write.

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

/// State of one shard at one node.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Next sequence number; every lower one is applied.
    next: u64,
    /// Clock that determines the ages of claims.
    clock: Clock,
    /// Current claims.
    claims: IndexMap<Key, Claim>,
    /// Positions of claims in the log.
    positions: Positions,
    /// Bytes of recorded responses in `claims`.
    bytes: usize,
    /// Keys with recorded responses, oldest first. May contain keys that were dropped.
    recorded: VecDeque<Key>,
    /// Keys that wait for a claim.
    pending: IndexMap<Key, Pending>,
    deadlines: VecDeque<Deadline>,
    /// Claimed keys that run at this node.
    runs: IndexMap<Key, Run>,
    /// Results and releases that are not yet written.
    unwritten: IndexMap<Key, Entry>,
    /// When `unwritten` last became non-empty.
    unwritten_since: Millis,
    /// Number of the next claim id.
    next_claim: u64,
    /// Own claims with lower numbers may have run before this node dropped its claims from memory.
    forgotten_below: u64,
    /// Number of the next write id.
    next_write: u64,
    op: Op,
    /// The log may contain batches that must be read before the next write.
    behind: bool,
    /// The last write conflicted with another node's write.
    conflicted: bool,
    /// It is unknown whether a write took effect.
    indeterminate_write: bool,
    /// Time of the last successful write.
    last_write: Option<Millis>,
    /// Start time of the last successful read of the base; `None` if the base must be read first.
    base_read_at: Option<Millis>,
    base: Base,
    version: Option<Version>,
    trims: VecDeque<Trim>,
    /// Earliest time of the next write.
    write_at: Millis,
    /// Earliest time of the next delete.
    delete_at: Millis,
    /// Earliest time of the next operation after a failure.
    retry_at: Millis,
    /// Number of consecutive failures.
    failures: u32,
    /// Time of the last use by a caller.
    last_used: Millis,
    /// Time of the next sweep of expired claims.
    sweep_at: Millis,
}

impl Log {
    pub fn new() -> Self {
        Self {
            behind: true,
            ..Self::default()
        }
    }

    /// Handles one event.
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

    /// Number of current claims.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Number of results and releases that are not yet written.
    pub fn unwritten(&self) -> usize {
        self.unwritten.len()
    }

    /// Number of keys that wait for a claim or run.
    pub fn open(&self) -> usize {
        self.pending.len() + self.runs.len()
    }

    /// Bytes of recorded responses.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops everything read from the log, which is read again from `first`. Pending claims, runs and unwritten entries
    /// of this node are kept.
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
