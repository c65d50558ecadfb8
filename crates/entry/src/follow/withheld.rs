//! Records of a restored store that are known to be outdated.

use base::{Millis, Revision};
use indexmap::IndexMap;
use store::listing::Entry;

/// Outdated records, by key, and until when they are withheld. A record that is written again is no longer withheld.
#[derive(Debug, Default)]
pub(super) struct Withheld {
    entries: IndexMap<String, (Entry, Millis)>,
}

impl Withheld {
    /// Forgets all records.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Withholds a record.
    pub fn insert(&mut self, entry: Entry, until: Millis) {
        self.entries.insert(entry.key.clone(), (entry, until));
    }

    /// Whether a record is withheld.
    pub fn contains(&self, key: &str, revision: Revision) -> bool {
        let known = self.entries.get(key);
        known.is_some_and(|(entry, _)| entry.revision == revision)
    }

    /// Forgets the record of a key that was written or deleted.
    pub fn remove(&mut self, key: &str) {
        self.entries.swap_remove(key);
    }

    /// When the next record is no longer withheld; `None` if none is.
    pub fn next_due(&self) -> Option<Millis> {
        self.entries.values().map(|(_, until)| *until).min()
    }

    /// Removes and returns the records that are no longer withheld.
    pub fn take_due(&mut self, now: Millis) -> Vec<Entry> {
        let due = self.entries.values().filter(|(_, until)| *until <= now);
        let due: Vec<Entry> = due.map(|(entry, _)| entry.clone()).collect();
        for entry in &due {
            self.entries.swap_remove(&entry.key);
        }
        due
    }
}
