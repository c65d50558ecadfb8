//! Keys imported from a stopped home node.

use std::collections::BTreeMap;

use base::Millis;
use indexmap::IndexSet;

use crate::handover::{Entry, Export};
use crate::{Answer, Completion, Fingerprint, Handover, Reason};

/// Imported key state of one stopped home node.
#[derive(Clone, Debug)]
pub(super) struct Import {
    low: u64,
    next: u64,
    export: Export,
    pieces: u32,
    seen_pieces: IndexSet<u32>,
    entries: BTreeMap<u64, Entry>,
    bytes: usize,
    received_at: Millis,
}

impl Import {
    pub fn new(now: Millis, piece: &Handover) -> Self {
        Self {
            low: piece.low,
            next: piece.next,
            export: piece.export,
            pieces: piece.pieces,
            seen_pieces: IndexSet::new(),
            entries: BTreeMap::new(),
            bytes: 0,
            received_at: now,
        }
    }

    /// Adds a piece. Adding the same piece twice has no further effect.
    pub fn add(&mut self, piece: Handover) {
        self.low = self.low.max(piece.low);
        if self.export != piece.export {
            self.restart_count(&piece);
        }
        if !self.seen_pieces.insert(piece.index) {
            return;
        }
        for entry in piece.entries {
            self.insert(entry);
        }
    }

    /// Restarts the count of pieces for another export. Entries of earlier exports are kept, since they remain valid.
    fn restart_count(&mut self, piece: &Handover) {
        self.export = piece.export;
        self.pieces = piece.pieces;
        self.seen_pieces.clear();
    }

    fn insert(&mut self, entry: Entry) {
        let known = self.entries.get(&entry.number);
        let has_record = matches!(entry.completion, Completion::Recorded(_));
        if known.is_some() && !has_record {
            return;
        }
        self.bytes += entry.completion.bytes();
        if let Some(old) = self.entries.insert(entry.number, entry) {
            self.bytes -= old.completion.bytes();
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    pub const fn received_at(&self) -> Millis {
        self.received_at
    }

    pub const fn low(&self) -> u64 {
        self.low
    }

    pub const fn next(&self) -> u64 {
        self.next
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.entries.values().cloned().collect()
    }

    /// Drops all recorded responses, but keeps which keys ran.
    pub fn drop_records(&mut self) {
        for entry in self.entries.values_mut() {
            if matches!(entry.completion, Completion::Recorded(_)) {
                entry.completion = Completion::Dropped;
            }
        }
        self.bytes = 0;
    }

    /// Whether every piece of the current export has arrived.
    pub fn is_complete(&self) -> bool {
        self.seen_pieces.len() == self.pieces as usize
    }

    /// Answer to a repeat of the key.
    pub fn answer(&self, number: u64, fingerprint: Fingerprint) -> Answer {
        if let Some(entry) = self.entries.get(&number) {
            if entry.fingerprint != fingerprint {
                return Answer::Refused(Reason::Mismatch);
            }
            return entry.completion.answer();
        }
        Answer::Refused(self.absence_reason(number))
    }

    fn absence_reason(&self, number: u64) -> Reason {
        if number < self.low {
            return Reason::Expired;
        }
        if !self.is_complete() {
            return Reason::HandoverPartial;
        }
        if number >= self.next {
            return Reason::HomeGone;
        }
        Reason::NeverRun
    }
}
