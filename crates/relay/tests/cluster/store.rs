//! The store: a log of changes, of which the oldest may be forgotten.

use std::collections::BTreeMap;

use bytes::Bytes;
use relay::Change;

#[derive(Debug, Default)]
pub struct Store {
    log: Vec<Change>,
    /// Times of the changes, in milliseconds.
    times: Vec<u64>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    pub calls: u64,
}

/// Records by key, with their revisions.
pub type State = BTreeMap<String, u64>;

impl Store {
    pub fn revision(&self) -> u64 {
        self.log.len() as u64
    }

    /// Writes the key, or deletes it.
    pub fn change(&mut self, now: u64, key: u64, deletes: bool) {
        self.times.push(now);
        self.log.push(Change {
            key: format!("key-{key}"),
            revision: self.revision() + 1,
            value: (!deletes).then(Bytes::new),
        });
    }

    pub fn forget(&mut self) {
        self.forgotten = self.revision();
    }

    /// Changes after a revision; `None` if some are forgotten.
    pub fn since(&self, revision: u64) -> Option<Vec<Change>> {
        (revision >= self.forgotten).then(|| self.log[revision as usize..].to_vec())
    }

    /// Revision of the last change that was accepted by `time`.
    pub fn revision_at(&self, time: u64) -> u64 {
        self.times.partition_point(|at| *at <= time) as u64
    }

    /// The records as of a revision.
    pub fn state_at(&self, revision: u64) -> State {
        let mut state = State::new();
        for change in &self.log[..revision as usize] {
            apply(&mut state, change);
        }
        state
    }
}

pub fn apply(state: &mut State, change: &Change) {
    match &change.value {
        Some(_) => state.insert(change.key.clone(), change.revision),
        None => state.remove(&change.key),
    };
}
