//! The store: a log of changes, of which the oldest may be forgotten and the latest lost by a restore.

use std::collections::BTreeMap;

use base::Revision;
use bytes::Bytes;
use relay::Change;

/// The changes that hold in an era: those of the copy that the store was restored from, and those since.
#[derive(Clone, Debug, Default)]
struct Era {
    /// When the store was restored.
    start: u64,
    /// Keys, and whether the change deletes them.
    log: Vec<(String, bool)>,
    /// Times of the changes, in milliseconds.
    times: Vec<u64>,
}

#[derive(Debug)]
pub struct Store {
    /// All eras, the current one last.
    eras: Vec<Era>,
    /// Changes up to this number are forgotten.
    forgotten: u64,
    pub calls: u64,
}

/// Records by key, with the numbers of their revisions.
pub type State = BTreeMap<String, u64>;

impl Store {
    pub fn new() -> Self {
        Self {
            eras: vec![Era::default()],
            forgotten: 0,
            calls: 0,
        }
    }

    /// The current era.
    pub const fn era(&self) -> u64 {
        self.eras.len() as u64
    }

    pub fn revision(&self) -> Revision {
        Revision::new(self.era(), self.current().log.len() as u64)
    }

    fn current(&self) -> &Era {
        self.eras.last().expect("an era")
    }

    /// Writes the key, or deletes it.
    pub fn change(&mut self, now: u64, key: u64, deletes: bool) {
        let era = self.eras.last_mut().expect("an era");
        era.times.push(now);
        era.log.push((format!("key-{key}"), deletes));
    }

    pub fn forget(&mut self) {
        self.forgotten = self.revision().number;
    }

    /// Restores a copy that lacks the latest changes.
    pub fn restore(&mut self, now: u64, lost: u64) {
        let mut era = self.current().clone();
        let kept = era.log.len().saturating_sub(lost as usize);
        era.start = now;
        era.log.truncate(kept);
        era.times.truncate(kept);
        self.forgotten = self.forgotten.min(kept as u64);
        self.eras.push(era);
    }

    /// Changes after a number, which callers may know from an earlier era; `None` if the store does not have them.
    pub fn since(&self, number: u64) -> Option<Vec<Change>> {
        let end = self.revision();
        let is_known = self.forgotten <= number && number <= end.number;
        is_known.then(|| self.changes(end, number))
    }

    /// Changes of an era after a number, up to a revision.
    fn changes(&self, end: Revision, after: u64) -> Vec<Change> {
        let era = &self.eras[end.era as usize - 1];
        let change = |number: u64| {
            let (key, deletes) = &era.log[number as usize - 1];
            Change {
                key: key.clone(),
                revision: Revision::new(end.era, number),
                value: (!deletes).then(Bytes::new),
            }
        };
        (after + 1..=end.number).map(change).collect()
    }

    /// Revision of the last change that was accepted by `time`, in the era of that time.
    pub fn revision_at(&self, time: u64) -> Revision {
        let era = self.eras.partition_point(|era| era.start <= time);
        let accepted = self.eras[era - 1].times.partition_point(|at| *at <= time);
        Revision::new(era as u64, accepted as u64)
    }

    /// The records as of a revision.
    pub fn state_at(&self, revision: Revision) -> State {
        let mut state = State::new();
        for change in self.changes(revision, 0) {
            apply(&mut state, &change);
        }
        state
    }
}

pub fn apply(state: &mut State, change: &Change) {
    match &change.value {
        Some(_) => state.insert(change.key.clone(), change.revision.number),
        None => state.remove(&change.key),
    };
}
