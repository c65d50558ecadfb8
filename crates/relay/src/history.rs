//! The latest changes of the store.

use std::collections::VecDeque;

use base::Revision;

use crate::Change;

/// Maximum number of changes kept.
const MAX_CHANGES: usize = 4_096;
/// Maximum size of the kept values and keys, in bytes. A single larger change is kept nevertheless.
const MAX_BYTES: usize = 1024 * 1024;

/// The changes between two revisions of one era.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All changes after this revision are kept.
    start: Revision,
    /// Revision up to which the changes are complete.
    end: Revision,
    changes: VecDeque<Change>,
    bytes: usize,
    /// Revisions between which only the difference of the records is known.
    skipped: Vec<Skipped>,
}

/// A span of revisions, exclusive of both ends. A record that was written and deleted within it is in no difference, so
/// the history is of no use to a node whose view is from within it.
#[derive(Clone, Copy, Debug)]
struct Skipped {
    from: Revision,
    to: Revision,
}

/// The history does not reach back to the requested revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

impl History {
    /// Drops all changes and continues from a revision.
    pub fn reset(&mut self, revision: Revision) {
        *self = Self {
            start: revision,
            end: revision,
            ..Self::default()
        };
    }

    /// Revision up to which the changes are complete.
    pub const fn end(&self) -> Revision {
        self.end
    }

    /// Appends changes that complete the history up to `revision`. Changes that are already known are skipped. Those of an
    /// earlier era change nothing, and those of a later era do not connect to the history, which is dropped.
    pub fn append(&mut self, changes: &[Change], revision: Revision) {
        if revision.era > self.end.era {
            return self.reset(revision);
        }
        if revision.era < self.end.era {
            return;
        }
        for change in changes.iter().filter(|change| change.revision > self.end) {
            self.bytes += size(change);
            self.changes.push_back(change.clone());
        }
        self.end = self.end.max(revision);
        while self.changes.len() > MAX_CHANGES || (self.bytes > MAX_BYTES && self.changes.len() > 1) {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= size(&oldest);
            // NB: further changes of the same transaction may follow, so this revision is no longer complete.
            self.start = self.start.max(oldest.revision);
        }
    }

    /// Appends the difference of the records between the end of the history and a listing at `revision`.
    pub fn append_difference(&mut self, changes: &[Change], revision: Revision) {
        let (from, to) = (self.end, revision);
        if to.era == from.era && to.number > from.number + 1 {
            self.skipped.push(Skipped { from, to });
        }
        self.append(changes, revision);
        self.skipped.retain(|skipped| skipped.to > self.start);
    }

    /// Whether the changes after `revision` leave out records that were both written and deleted since then.
    pub fn is_difference(&self, revision: Revision) -> bool {
        self.skipped.iter().any(|it| it.from >= revision)
    }

    /// Changes after `revision`.
    pub fn after(&self, revision: Revision) -> Result<impl Iterator<Item = &Change>, Gone> {
        let is_skipped = |it: &Skipped| it.from < revision && revision < it.to;
        if revision.era != self.end.era || revision < self.start || self.skipped.iter().any(is_skipped) {
            return Err(Gone);
        }
        let first = self.changes.partition_point(|change| change.revision <= revision);
        Ok(self.changes.range(first..))
    }
}

fn size(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len)
}
