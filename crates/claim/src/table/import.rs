//! Keys of a home that stopped.

use std::collections::BTreeMap;

use base::Millis;
use indexmap::IndexSet;

use crate::handover::{Entry, Export};
use crate::{Answer, Fate, Fingerprint, Handover, Reason};

/// What this node holds for one home that stopped.
#[derive(Clone, Debug)]
pub(super) struct Import {
    low: u64,
    next: u64,
    export: Export,
    pieces: u32,
    seen: IndexSet<u32>,
    entries: BTreeMap<u64, Entry>,
    bytes: usize,
    since: Millis,
}

impl Import {
    pub fn new(now: Millis, piece: &Handover) -> Self {
        Self {
            low: piece.low,
            next: piece.next,
            export: piece.export,
            pieces: piece.pieces,
            seen: IndexSet::new(),
            entries: BTreeMap::new(),
            bytes: 0,
            since: now,
        }
    }

    /// Takes a piece in; the same piece twice changes nothing.
    pub fn add(&mut self, piece: Handover) {
        self.low = self.low.max(piece.low);
        if self.export != piece.export {
            self.restart(&piece);
        }
        if !self.seen.insert(piece.piece) {
            return;
        }
        for entry in piece.entries {
            self.insert(entry);
        }
    }

    /// Counts the pieces of another export from the start. Entries of both stay, since each of them is true.
    fn restart(&mut self, piece: &Handover) {
        self.export = piece.export;
        self.pieces = piece.pieces;
        self.seen.clear();
    }

    fn insert(&mut self, entry: Entry) {
        let known = self.entries.get(&entry.number);
        let better = matches!(entry.fate, Fate::Recorded(_));
        if known.is_some() && !better {
            return;
        }
        self.bytes += entry.fate.bytes();
        if let Some(old) = self.entries.insert(entry.number, entry) {
            self.bytes -= old.fate.bytes();
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    pub const fn since(&self) -> Millis {
        self.since
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

    /// Forgets all answers, but not which keys ran.
    pub fn drop_records(&mut self) {
        for entry in self.entries.values_mut() {
            if matches!(entry.fate, Fate::Recorded(_)) {
                entry.fate = Fate::Dropped;
            }
        }
        self.bytes = 0;
    }

    /// Whether every piece of one export has arrived.
    pub fn complete(&self) -> bool {
        self.seen.len() == self.pieces as usize
    }

    /// What a repeat of the key is told.
    pub fn answer(&self, number: u64, fingerprint: Fingerprint) -> Answer {
        if let Some(entry) = self.entries.get(&number) {
            if entry.fingerprint != fingerprint {
                return Answer::Refused(Reason::Mismatch);
            }
            return entry.fate.answer();
        }
        Answer::Refused(self.absent(number))
    }

    fn absent(&self, number: u64) -> Reason {
        if number < self.low {
            return Reason::Expired;
        }
        if !self.complete() {
            return Reason::HandoverPartial;
        }
        if number >= self.next {
            return Reason::HomeGone;
        }
        Reason::NeverRun
    }
}
