//! The hand-over of a stopping node's keys.

use base::Incarnation;

use super::entry::State;
use super::{Seal, Table};
use crate::handover::{Entry, Export};
use crate::{Fate, Handover};

/// Bytes that an entry takes beside its record.
const ENTRY_BYTES: usize = 64;

impl Table {
    /// Everything that a peer needs to answer repeats, in pieces of about `piece_bytes`; a larger record has a piece
    /// of its own. Seals the table: runs that have sent nothing are halted from here on, and runs that have sent are
    /// handed over as `unknown`, so it is best called when `usage().running` is zero.
    pub fn export(&mut self, piece_bytes: usize) -> Vec<Handover> {
        self.seal = Seal::Closed;
        self.exports += 1;
        let mut pieces = Vec::new();
        let own = self.own_entries();
        let head = self.head(self.home, self.window.low(), self.window.next());
        split(&mut pieces, &head, own, piece_bytes, true);
        for (home, import) in &self.imports {
            let head = self.head(*home, import.low(), import.next());
            split(
                &mut pieces,
                &head,
                import.entries(),
                piece_bytes,
                import.complete(),
            );
        }
        pieces
    }

    const fn head(&self, home: Incarnation, low: u64, next: u64) -> Handover {
        Handover {
            home,
            export: Export {
                by: self.home,
                number: self.exports,
            },
            piece: 0,
            pieces: 0,
            low,
            next,
            entries: Vec::new(),
        }
    }

    fn own_entries(&self) -> Vec<Entry> {
        let mut entries = Vec::with_capacity(self.entries.len());
        for (number, entry) in &self.entries {
            let fate = match &entry.state {
                State::Ended(fate) => fate.clone(),
                State::Running(run) if run.dispatched => Fate::Unknown,
                State::Running(_) => continue,
            };
            entries.push(Entry {
                number: *number,
                fingerprint: entry.fingerprint,
                fate,
            });
        }
        entries.sort_by_key(|entry| entry.number);
        entries
    }
}

/// Appends `entries` in pieces. Without `whole` one piece is missing on purpose, so that nothing is certified.
fn split(pieces: &mut Vec<Handover>, head: &Handover, entries: Vec<Entry>, piece_bytes: usize, whole: bool) {
    let first = pieces.len();
    let mut piece = head.clone();
    let mut bytes = 0;
    for entry in entries {
        let size = ENTRY_BYTES + entry.fate.bytes();
        if bytes > 0 && bytes + size > piece_bytes {
            pieces.push(std::mem::replace(&mut piece, head.clone()));
            bytes = 0;
        }
        bytes += size;
        piece.entries.push(entry);
    }
    pieces.push(piece);
    let count = pieces.len() - first;
    let missing = u32::from(!whole);
    for (place, piece) in pieces[first..].iter_mut().enumerate() {
        piece.piece = place as u32;
        piece.pieces = count as u32 + missing;
    }
}
