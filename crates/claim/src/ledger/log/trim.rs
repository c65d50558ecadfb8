//! Keeping a log and its memory short.

use base::Millis;

use super::Log;
use super::op::Op;
use super::tail::Stated;
use crate::ledger::base::Base;
use crate::ledger::claim::Claim;
use crate::ledger::context::Context;
use crate::ledger::{Action, Key};

/// Moves of the base that wait for their deletes; later moves cover those left out.
const TRIMS_MAX: usize = 64;
/// The base is moved after this share of the log's length.
const SWAP_SHARE: u64 = 4;
/// Looks for expired claims over one retention time.
const SWEEPS: u64 = 16;

/// Sequence numbers to delete.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trim {
    /// Everything below.
    below: u64,
    /// When the base was seen to have left them.
    since: Millis,
}

impl Log {
    /// Moves the base up to the first sequence number that states a claim in force.
    pub fn swap_base(&mut self, context: &mut Context<'_>) {
        let first = self.first();
        if first.saturating_sub(self.base.first) < (context.limits.log / SWAP_SHARE).max(1) {
            return;
        }
        let base = Base {
            first,
            trimmed: self.base.trimmed,
        };
        self.op = Op::SwapBase { since: context.now };
        context.push(Action::SwapBase {
            shard: context.shard,
            expect: self.version.clone(),
            bytes: base.encode(),
        });
    }

    /// Takes down that everything below the base may go, some time after `since`.
    pub fn await_trim(&mut self, since: Millis) {
        let below = self.base.first;
        let last = self.trims.back().map_or(self.base.trimmed, |trim| trim.below);
        if below > last && self.trims.len() < TRIMS_MAX {
            self.trims.push_back(Trim { below, since });
        }
    }

    /// Deletes what has been below the base for long enough, one at a time. Left to the nodes that write.
    pub fn trim(&mut self, context: &mut Context<'_>) {
        let writer = self.wrote.is_some_and(|wrote| {
            context.now.since(wrote) <= context.limits.delete_after + context.limits.delete_after
        });
        if !writer {
            return;
        }
        if context.now < self.delete_at {
            return;
        }
        while let Some(trim) = self.trims.front().copied() {
            if context.now.since(trim.since) < context.limits.delete_after {
                return;
            }
            if self.base.trimmed < trim.below {
                return self.delete(context);
            }
            self.trims.pop_front();
        }
    }

    /// Deletes one sequence number, at the pace of writes.
    fn delete(&mut self, context: &mut Context<'_>) {
        context.push(Action::Delete {
            shard: context.shard,
            sequence: self.base.trimmed,
        });
        self.base.trimmed += 1;
        self.delete_at = context.now + context.limits.write_interval;
    }

    /// Forgets the claims at the front of the log that have expired, so that it need not reach back to them.
    pub fn drop_expired(&mut self, context: &Context<'_>) {
        while let Some(key) = self.front() {
            let Some(claim) = self.claims.get(&key) else {
                return;
            };
            if !self.expired(context, claim) {
                return;
            }
            self.drop_claim(key);
        }
    }

    /// The claim in force that was stated first.
    fn front(&mut self) -> Option<Key> {
        let claims = &self.claims;
        self.tail
            .first(|stated| is_stale(claims, stated))
            .map(|stated| stated.key)
    }

    /// Forgets expired claims. What the log says of them is no longer of use to anyone.
    pub fn sweep(&mut self, context: &Context<'_>) {
        if context.now < self.sweep_at {
            return;
        }
        let retention = context.limits.retention;
        self.sweep_at = context.now + Millis((retention.0 / SWEEPS).max(1));
        let clock = self.clock;
        let bytes = &mut self.bytes;
        self.claims.retain(|_, claim| {
            let keep = clock.age(context.now, claim.at) < retention;
            if !keep {
                *bytes -= claim.bytes();
            }
            keep
        });
        let claims = &self.claims;
        self.tail.sweep(|stated| is_stale(claims, stated));
        self.recorded
            .retain(|key| claims.get(key).is_some_and(|claim| claim.bytes() > 0));
    }

    /// Forgets everything read, if no caller has used the shard for a while.
    pub fn retire(&mut self, context: &Context<'_>) {
        let unused = context.now.since(self.used) >= context.limits.idle;
        let quiet = self.op.is_idle() && self.open() == 0 && self.notes.is_empty();
        if unused && quiet && self.next > 0 {
            self.restart(context.now, 0);
            self.checked = None;
            self.trims.clear();
        }
    }

    /// Whether a claim is certain to be older than the retention.
    pub fn expired(&self, context: &Context<'_>, claim: &Claim) -> bool {
        self.clock.age(context.now, claim.at) >= context.limits.retention
    }

    /// Whether a statement is no longer the last one of a claim in force.
    pub(super) fn stale(&self, stated: &Stated) -> bool {
        is_stale(&self.claims, stated)
    }

    fn first(&mut self) -> u64 {
        let claims = &self.claims;
        let first = self.tail.first(|stated| is_stale(claims, stated));
        first.map_or(self.next, |stated| stated.sequence)
    }
}

fn is_stale(
    claims: &indexmap::IndexMap<crate::ledger::Key, crate::ledger::claim::Claim>,
    stated: &Stated,
) -> bool {
    claims
        .get(&stated.key)
        .is_none_or(|claim| claim.sequence != stated.sequence)
}
