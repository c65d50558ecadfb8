//! Taking batches of the log in.

use base::Millis;

use super::Log;
use crate::ledger::Key;
use crate::ledger::batch::{Batch, Entry, Ticket};
use crate::ledger::claim::Claim;
use crate::ledger::context::Context;
use crate::{Fate, Fingerprint};

impl Log {
    /// Applies the batch at the next sequence number, whoever wrote it.
    pub fn apply(&mut self, context: &mut Context<'_>, batch: Batch) {
        let sequence = self.next;
        self.next += 1;
        self.clock.advance(context.now, batch.span);
        for entry in batch.entries {
            self.apply_entry(context, sequence, entry);
        }
    }

    fn apply_entry(&mut self, context: &mut Context<'_>, sequence: u64, entry: Entry) {
        self.forget_note(&entry);
        match entry {
            Entry::Claim {
                key,
                fingerprint,
                ticket,
            } => self.apply_claim(context, sequence, key, fingerprint, ticket),
            Entry::Result { key, ticket, fate } => self.conclude(context, key, ticket, fate),
            Entry::Release { key, ticket } => self.apply_release(key, ticket),
            Entry::Kept {
                key,
                fingerprint,
                ticket,
                fate,
                age,
            } => {
                let at = self.clock.point(age);
                self.apply_kept(
                    context,
                    key,
                    Claim {
                        fingerprint,
                        ticket,
                        at,
                        sequence,
                        fate,
                        idle: false,
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
        ticket: Ticket,
    ) {
        let own = ticket.by == context.by;
        let wanted = own
            && self
                .wants
                .get(&key)
                .is_some_and(|want| want.ticket == ticket.number);
        // NB: an own ticket that nobody waits for was given up, unless it may have run before a restart.
        let idle = own && !wanted && ticket.number >= self.forgotten;
        self.set(
            key,
            Claim {
                fingerprint,
                ticket,
                at: self.clock.point(Millis::ZERO),
                sequence,
                fate: None,
                idle,
            },
        );
        if !wanted {
            if idle {
                self.note_release(context.now, key, ticket);
            }
            return;
        }
        if let Some(want) = self.wants.swap_remove(&key) {
            self.grant(context, key, want);
        }
    }

    /// Takes the result of a run in, if its claim is still the one in force.
    pub fn conclude(&mut self, context: &Context<'_>, key: Key, ticket: Ticket, fate: Fate) {
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        if claim.ticket != ticket || claim.fate.is_some() {
            return;
        }
        let bytes = fate.bytes();
        claim.fate = Some(fate);
        self.remember(context, key, bytes);
    }

    fn apply_release(&mut self, key: Key, ticket: Ticket) {
        let released = self.claims.get(&key).is_some_and(|claim| claim.ticket == ticket);
        if released {
            self.drop_claim(key);
        }
    }

    fn apply_kept(&mut self, context: &Context<'_>, key: Key, kept: Claim) {
        if let Some(claim) = self.claims.get_mut(&key)
            && claim.ticket == kept.ticket
        {
            claim.sequence = kept.sequence;
            self.tail.push(key, kept.sequence);
            if let Some(fate) = kept.fate {
                self.conclude(context, key, kept.ticket, fate);
            }
            return;
        }
        let bytes = kept.bytes();
        self.set(key, kept);
        self.remember(context, key, bytes);
    }

    fn set(&mut self, key: Key, claim: Claim) {
        self.drop_claim(key);
        self.tail.push(key, claim.sequence);
        self.claims.insert(key, claim);
    }

    pub fn drop_claim(&mut self, key: Key) {
        if let Some(old) = self.claims.swap_remove(&key) {
            self.bytes -= old.bytes();
        }
    }

    /// Counts the answer just kept for `key`, and drops the oldest ones beyond the bound.
    fn remember(&mut self, context: &Context<'_>, key: Key, bytes: usize) {
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
        if matches!(claim.fate, Some(Fate::Recorded(_))) {
            self.bytes -= claim.bytes();
            claim.fate = Some(Fate::Dropped);
        }
    }

    /// A note that is in the log needs no more writing.
    fn forget_note(&mut self, entry: &Entry) {
        let (Entry::Result { key, .. } | Entry::Release { key, .. }) = entry else {
            return;
        };
        if self.notes.get(key) == Some(entry) {
            self.notes.swap_remove(key);
        }
    }

    fn note_release(&mut self, now: Millis, key: Key, ticket: Ticket) {
        if self.notes.is_empty() {
            self.noted = now;
        }
        self.notes.insert(key, Entry::Release { key, ticket });
    }
}
