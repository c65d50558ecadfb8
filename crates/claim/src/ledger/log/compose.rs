//! Composition of batches.

use super::Log;
use crate::ledger::batch::{Batch, ClaimId, Entry, WriteId};
use crate::ledger::context::Context;

/// Rewritten claims take at most one part in this many of a batch.
const REWRITE_DIVISOR: usize = 2;

impl Log {
    /// Composes the batch for the next sequence number from pending claims and unwritten entries. Returns `None` if
    /// there are none.
    pub fn compose(&mut self, context: &mut Context<'_>) -> Option<Batch> {
        let id = WriteId {
            node: context.node,
            number: self.next_write,
        };
        let mut batch = Batch::new(id, self.clock.since_last_batch(context.now));
        let mut room = context.limits.batch_bytes;
        self.drop_expired(context);
        self.add_claims(context, &mut batch, &mut room);
        self.add_unwritten(&mut batch, &mut room);
        if batch.entries.is_empty() {
            return None;
        }
        self.add_rewrites(context, &mut batch, &mut room);
        self.next_write += 1;
        Some(batch)
    }

    fn add_claims(&self, context: &Context<'_>, batch: &mut Batch, room: &mut usize) {
        for (key, pending) in &self.pending {
            let claim_id = ClaimId {
                node: context.node,
                number: pending.claim_number,
            };
            let entry = Entry::Claim {
                key: *key,
                fingerprint: pending.fingerprint,
                claim_id,
            };
            if !add(batch, room, entry) {
                return;
            }
        }
    }

    fn add_unwritten(&self, batch: &mut Batch, room: &mut usize) {
        for entry in self.unwritten.values() {
            if !add(batch, room, entry.clone()) {
                return;
            }
        }
    }

    /// Rewrites the oldest claims, so that the log can be trimmed.
    fn add_rewrites(&self, context: &Context<'_>, batch: &mut Batch, room: &mut usize) {
        let Some(oldest_kept) = self.next.checked_sub(context.limits.log_length) else {
            return;
        };
        let spare = context.limits.batch_bytes / REWRITE_DIVISOR;
        let mut left = spare.min(*room);
        for position in self.positions.iter() {
            if position.sequence >= oldest_kept {
                return;
            }
            let Some(claim) = self.claims.get(&position.key) else {
                continue;
            };
            let is_pending = self.pending.contains_key(&position.key);
            if is_pending || self.stale(position) || self.expired(context, claim) {
                continue;
            }
            let entry = Entry::Rewrite {
                key: position.key,
                fingerprint: claim.fingerprint,
                claim_id: claim.id,
                completion: claim.completion.clone(),
                age: self.clock.age(context.now, claim.claimed_at),
            };
            if !add(batch, &mut left, entry) {
                return;
            }
        }
    }
}

fn add(batch: &mut Batch, room: &mut usize, entry: Entry) -> bool {
    let bytes = entry.bytes();
    if bytes > *room {
        return false;
    }
    *room -= bytes;
    batch.entries.push(entry);
    true
}
