//! Application of batches.

use base::Millis;

use super::Log;
use crate::ledger::Key;
use crate::ledger::batch::{Batch, ClaimId, Entry};
use crate::ledger::claim::Claim;
use crate::ledger::context::Context;
use crate::{Completion, Fingerprint};

impl Log {
    /// Applies the batch at the next sequence number, regardless of which node wrote it.
    pub fn apply(&mut self, context: &mut Context<'_>, batch: Batch) {
        let sequence = self.next;
        self.next += 1;
        self.clock.advance(context.now, batch.span);
        for entry in batch.entries {
            self.apply_entry(context, sequence, entry);
        }
    }

    fn apply_entry(&mut self, context: &mut Context<'_>, sequence: u64, entry: Entry) {
        self.remove_written(&entry);
        match entry {
            Entry::Claim {
                key,
                fingerprint,
                claim_id,
            } => self.apply_claim(context, sequence, key, fingerprint, claim_id),
            Entry::Result {
                key,
                claim_id,
                completion,
            } => self.apply_result(context, key, claim_id, completion),
            Entry::Release { key, claim_id } => self.apply_release(key, claim_id),
            Entry::Rewrite {
                key,
                fingerprint,
                claim_id,
                completion,
                age,
            } => {
                let claimed_at = self.clock.point(age);
                self.apply_rewrite(
                    context,
                    key,
                    Claim {
                        fingerprint,
                        id: claim_id,
                        claimed_at,
                        sequence,
                        completion,
                        abandoned: false,
                    },
                );
            }
        }
    }

    fn apply_claim(
        &mut self,
        context: &mut Context<'_>,
        sequence: u64,
        key: Key,
        fingerprint: Fingerprint,
        claim_id: ClaimId,
    ) {
        let is_own = claim_id.node == context.node;
        let is_pending = is_own
            && self
                .pending
                .get(&key)
                .is_some_and(|pending| pending.claim_number == claim_id.number);
        // An own claim without waiting calls was abandoned, unless it may have run before the log was reset.
        let abandoned = is_own && !is_pending && claim_id.number >= self.forgotten_below;
        self.insert_claim(
            key,
            Claim {
                fingerprint,
                id: claim_id,
                claimed_at: self.clock.point(Millis::ZERO),
                sequence,
                completion: None,
                abandoned,
            },
        );
        if !is_pending {
            if abandoned {
                self.queue_release(context.now, key, claim_id);
            }
            return;
        }
        if let Some(pending) = self.pending.swap_remove(&key) {
            self.grant(context, key, pending);
        }
    }

    /// Records the result of a run, if its claim is still the current one.
    pub fn apply_result(
        &mut self,
        context: &Context<'_>,
        key: Key,
        claim_id: ClaimId,
        completion: Completion,
    ) {
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        if claim.id != claim_id || claim.completion.is_some() {
            return;
        }
        let bytes = completion.bytes();
        claim.completion = Some(completion);
        self.account_record(context, key, bytes);
    }

    fn apply_release(&mut self, key: Key, claim_id: ClaimId) {
        let released = self.claims.get(&key).is_some_and(|claim| claim.id == claim_id);
        if released {
            self.drop_claim(key);
        }
    }

    fn apply_rewrite(&mut self, context: &Context<'_>, key: Key, rewritten: Claim) {
        if let Some(claim) = self.claims.get_mut(&key)
            && claim.id == rewritten.id
        {
            claim.sequence = rewritten.sequence;
            self.positions.push(key, rewritten.sequence);
            if let Some(completion) = rewritten.completion {
                self.apply_result(context, key, rewritten.id, completion);
            }
            return;
        }
        let bytes = rewritten.bytes();
        self.insert_claim(key, rewritten);
        self.account_record(context, key, bytes);
    }

    fn insert_claim(&mut self, key: Key, claim: Claim) {
        self.drop_claim(key);
        self.positions.push(key, claim.sequence);
        self.claims.insert(key, claim);
    }

    pub fn drop_claim(&mut self, key: Key) {
        if let Some(old) = self.claims.swap_remove(&key) {
            self.bytes -= old.bytes();
        }
    }

    /// Accounts for the response just recorded for `key`, and drops the oldest ones beyond the limit.
    fn account_record(&mut self, context: &Context<'_>, key: Key, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.bytes += bytes;
        self.recorded.push_back(key);
        while self.bytes > context.limits.bytes {
            let Some(oldest) = self.recorded.pop_front() else {
                return;
            };
            self.drop_record(oldest);
        }
    }

    fn drop_record(&mut self, key: Key) {
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        if matches!(claim.completion, Some(Completion::Recorded(_))) {
            self.bytes -= claim.bytes();
            claim.completion = Some(Completion::Dropped);
        }
    }

    /// Removes `entry` from the unwritten entries, since the log now contains it.
    fn remove_written(&mut self, entry: &Entry) {
        let (Entry::Result { key, .. } | Entry::Release { key, .. }) = entry else {
            return;
        };
        if self.unwritten.get(key) == Some(entry) {
            self.unwritten.swap_remove(key);
        }
    }

    fn queue_release(&mut self, now: Millis, key: Key, claim_id: ClaimId) {
        if self.unwritten.is_empty() {
            self.unwritten_since = now;
        }
        self.unwritten.insert(key, Entry::Release { key, claim_id });
    }
}
