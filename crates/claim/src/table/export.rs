//! Export of a stopping node's keys.

use base::Incarnation;

use super::entry::State;
use super::{Phase, Table};
use crate::handover::{Entry, Export};
use crate::{Completion, Handover};

/// Estimated size of an entry without its record, in bytes.
const ENTRY_BYTES: usize = 64;

impl Table {
    /// Exports the state that a peer needs to answer repeats, in pieces of about `piece_bytes`. A larger record gets a
    /// piece of its own.
    ///
    /// After an export no undispatched run may start sending. Runs that were dispatched are exported as `unknown`, so
    /// call this once `usage().running` is zero if possible.
    ///
    /// After [`Event::Fenced`](super::Event::Fenced) the export certifies none of this node's keys as not run, since
    /// callers may have been told that they may have run.
    pub fn export(&mut self, piece_bytes: usize) -> Vec<Handover> {
        self.phase = Phase::Exported;
        self.exports += 1;
        let mut pieces = Vec::new();
        let own = self.own_entries();
        let low = self.window.low();
        let next = if self.fenced { low } else { self.window.next() };
        let empty = self.empty_piece(self.home, low, next);
        split(&mut pieces, &empty, own, piece_bytes, true);
        for (home, import) in &self.imports {
            let empty = self.empty_piece(*home, import.low(), import.next());
            split(
                &mut pieces,
                &empty,
                import.entries(),
                piece_bytes,
                import.is_complete(),
            );
        }
        pieces
    }

    const fn empty_piece(&self, home: Incarnation, low: u64, next: u64) -> Handover {
        Handover {
            home,
            export: Export {
                node: self.home,
                number: self.exports,
            },
            index: 0,
            pieces: 0,
            low,
            next,
            entries: Vec::new(),
        }
    }

    fn own_entries(&self) -> Vec<Entry> {
        let mut entries = Vec::with_capacity(self.entries.len());
        for (number, entry) in &self.entries {
            let completion = match &entry.state {
                State::Ended(completion) => completion.clone(),
                State::Running(run) if run.dispatched => Completion::Unknown,
                State::Running(_) => continue,
            };
            entries.push(Entry {
                number: *number,
                fingerprint: entry.fingerprint,
                completion,
            });
        }
        entries.sort_by_key(|entry| entry.number);
        entries
    }
}

/// Appends `entries` in pieces. If the entries are not `complete`, the announced number of pieces is one too high, so
/// that the receiver never treats the export as complete and certifies no key as not run.
fn split(
    pieces: &mut Vec<Handover>,
    empty: &Handover,
    entries: Vec<Entry>,
    piece_bytes: usize,
    complete: bool,
) {
    let first = pieces.len();
    let mut piece = empty.clone();
    let mut bytes = 0;
    for entry in entries {
        let size = ENTRY_BYTES + entry.completion.bytes();
        if bytes > 0 && bytes + size > piece_bytes {
            pieces.push(std::mem::replace(&mut piece, empty.clone()));
            bytes = 0;
        }
        bytes += size;
        piece.entries.push(entry);
    }
    pieces.push(piece);
    let count = pieces.len() - first;
    let missing = u32::from(!complete);
    for (index, piece) in pieces[first..].iter_mut().enumerate() {
        piece.index = index as u32;
        piece.pieces = count as u32 + missing;
    }
}
