//! Composing the next batch.

use super::Log;
use crate::ledger::batch::{Batch, Entry, Ticket, WriteId};
use crate::ledger::context::Context;

/// Share of a batch that claims written anew may take.
const KEPT_SHARE: usize = 2;

impl Log {
    /// The batch for the next sequence number, from everything that waits; nothing if nothing does.
    pub fn compose(&mut self, context: &mut Context<'_>) -> Option<Batch> {
        let id = WriteId {
            by: context.by,
            number: self.write,
        };
        let mut batch = Batch::new(id, self.clock.span(context.now));
        let mut room = context.limits.batch_bytes;
        self.drop_expired(context);
        self.add_claims(context, &mut batch, &mut room);
        self.add_notes(&mut batch, &mut room);
        if batch.entries.is_empty() {
            return None;
        }
        self.add_kept(context, &mut batch, &mut room);
        self.write += 1;
        Some(batch)
    }

    fn add_claims(&self, context: &Context<'_>, batch: &mut Batch, room: &mut usize) {
        for (key, want) in &self.wants {
            let ticket = Ticket {
                by: context.by,
                number: want.ticket,
            };
            let entry = Entry::Claim {
                key: *key,
                fingerprint: want.fingerprint,
                ticket,
            };
            if !add(batch, room, entry) {
                return;
            }
        }
    }

    fn add_notes(&self, batch: &mut Batch, room: &mut usize) {
        for entry in self.notes.values() {
            if !add(batch, room, entry.clone()) {
                return;
            }
        }
    }

    /// Writes the oldest claims anew, so that the log stays short.
    fn add_kept(&self, context: &Context<'_>, batch: &mut Batch, room: &mut usize) {
        let Some(below) = self.next.checked_sub(context.limits.log) else {
            return;
        };
        let spare = context.limits.batch_bytes / KEPT_SHARE;
        let mut left = spare.min(*room);
        for stated in self.tail.iter() {
            if stated.sequence >= below {
                return;
            }
            let Some(claim) = self.claims.get(&stated.key) else {
                continue;
            };
            let wanted = self.wants.contains_key(&stated.key);
            if wanted || self.stale(stated) || self.expired(context, claim) {
                continue;
            }
            let entry = Entry::Kept {
                key: stated.key,
                fingerprint: claim.fingerprint,
                ticket: claim.ticket,
                fate: claim.fate.clone(),
                age: self.clock.age(context.now, claim.at),
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
