//! Trimming of the log and eviction of expired claims.

use base::Millis;

use super::Log;
use super::op::Op;
use super::position::Position;
use crate::ledger::base::Base;
use crate::ledger::claim::Claim;
use crate::ledger::context::Context;
use crate::ledger::{Action, Key};

/// Maximum number of scheduled trims. Further moves of the base are not scheduled; a later trim covers them.
const MAX_TRIMS: usize = 64;
/// The base is moved once it can advance by one part in this many of the log length.
const SWAP_DIVISOR: u64 = 4;
/// Number of sweeps for expired claims per retention time.
const SWEEPS_PER_RETENTION: u64 = 16;

/// Sequence numbers that are scheduled for deletion.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trim {
    /// End of the range: every lower sequence number is deleted.
    below: u64,
    /// When this node first observed that the base is at or above `below`.
    since: Millis,
}

impl Log {
    /// Moves the base up to the first sequence number that contains a current claim.
    pub fn swap_base(&mut self, context: &mut Context<'_>) {
        let first = self.first_live_sequence();
        if first.saturating_sub(self.base.first) < (context.limits.log_length / SWAP_DIVISOR).max(1) {
            return;
        }
        let base = Base {
            first,
            trimmed: self.base.trimmed,
        };
        self.op = Op::SwapBase {
            started_at: context.now,
        };
        context.push(Action::SwapBase {
            shard: context.shard,
            expect: self.version.clone(),
            bytes: base.encode(),
        });
    }

    /// Schedules the deletion of everything below the base, to start `delete_after` after `since`.
    pub fn schedule_trim(&mut self, since: Millis) {
        let below = self.base.first;
        let last = self.trims.back().map_or(self.base.trimmed, |trim| trim.below);
        if below > last && self.trims.len() < MAX_TRIMS {
            self.trims.push_back(Trim { below, since });
        }
    }

    /// Deletes what has been below the base for long enough, one sequence number at a time. Only nodes that wrote
    /// recently do this.
    pub fn trim(&mut self, context: &mut Context<'_>) {
        let recently_wrote = self.last_write.is_some_and(|last_write| {
            context.now.since(last_write) <= context.limits.delete_after + context.limits.delete_after
        });
        if !recently_wrote {
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

    /// Deletes one sequence number. Deletes are spaced by `write_interval`, like writes.
    fn delete(&mut self, context: &mut Context<'_>) {
        context.push(Action::Delete {
            shard: context.shard,
            sequence: self.base.trimmed,
        });
        self.base.trimmed += 1;
        self.delete_at = context.now + context.limits.write_interval;
    }

    /// Drops expired claims at the front of the log, so that they do not hold back the base.
    pub fn drop_expired(&mut self, context: &Context<'_>) {
        while let Some(key) = self.first_claim() {
            let Some(claim) = self.claims.get(&key) else {
                return;
            };
            if !self.expired(context, claim) {
                return;
            }
            self.drop_claim(key);
        }
    }

    /// Key of the current claim with the lowest position.
    fn first_claim(&mut self) -> Option<Key> {
        let claims = &self.claims;
        self.positions
            .first(|position| is_stale(claims, position))
            .map(|position| position.key)
    }

    /// Drops all expired claims. Their entries in the log no longer have any effect.
    pub fn sweep(&mut self, context: &Context<'_>) {
        if context.now < self.sweep_at {
            return;
        }
        let retention = context.limits.retention;
        self.sweep_at = context.now + Millis((retention.0 / SWEEPS_PER_RETENTION).max(1));
        let clock = self.clock;
        let bytes = &mut self.bytes;
        self.claims.retain(|_, claim| {
            let keep = clock.age(context.now, claim.claimed_at) < retention;
            if !keep {
                *bytes -= claim.bytes();
            }
            keep
        });
        let claims = &self.claims;
        self.positions.sweep(|position| is_stale(claims, position));
        self.recorded
            .retain(|key| claims.get(key).is_some_and(|claim| claim.bytes() > 0));
    }

    /// Drops everything read from the log if no caller has used the shard for `idle_timeout`.
    pub fn unload_idle(&mut self, context: &Context<'_>) {
        let unused = context.now.since(self.last_used) >= context.limits.idle_timeout;
        let has_no_work = self.op.is_idle() && self.open() == 0 && self.unwritten.is_empty();
        if unused && has_no_work && self.next > 0 {
            self.reset(context.now, 0);
            self.base_read_at = None;
            self.trims.clear();
        }
    }

    /// Whether a claim is certainly older than the retention time.
    pub fn expired(&self, context: &Context<'_>, claim: &Claim) -> bool {
        self.clock.age(context.now, claim.claimed_at) >= context.limits.retention
    }

    /// Whether a position is not the latest one of a current claim.
    pub(super) fn stale(&self, position: &Position) -> bool {
        is_stale(&self.claims, position)
    }

    fn first_live_sequence(&mut self) -> u64 {
        let claims = &self.claims;
        let first = self.positions.first(|position| is_stale(claims, position));
        first.map_or(self.next, |position| position.sequence)
    }
}

fn is_stale(
    claims: &indexmap::IndexMap<crate::ledger::Key, crate::ledger::claim::Claim>,
    position: &Position,
) -> bool {
    claims
        .get(&position.key)
        .is_none_or(|claim| claim.sequence != position.sequence)
}
