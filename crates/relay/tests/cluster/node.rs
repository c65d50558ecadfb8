//! One node: its view, its path, and the questions of other nodes.

use base::{Incarnation, Millis, Revision};
use relay::{Call, Change, Desk, Path, Question};
use slotmap::SecondaryMap;

use crate::store::{State, apply};

/// What a node waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// For the time of its next call.
    Until(u64),
    /// For the answer to this call, sent at this time, or its timeout.
    Answer { call: u64, sent: u64, until: u64 },
}

#[derive(Debug)]
pub struct Node {
    pub path: Path,
    pub desk: Desk,
    /// Askers of the waiting questions, with the number of their call.
    pub askers: SecondaryMap<Question, (usize, u64)>,
    pub view: State,
    pub revision: Option<Revision>,
    /// The latest era that an answer of the store named.
    pub era: u64,
    pub needs_listing: bool,
    pub confirmed_at: Option<u64>,
    pub waiting: Waiting,
    /// The node that the current call asks; `None` for the store.
    pub asked: Option<usize>,
    pub desk_call: Option<Call>,
    pub frozen_until: u64,
}

impl Node {
    pub fn new(index: usize, now: u64) -> Self {
        Self {
            path: Path::new(Incarnation(index as u64)),
            desk: Desk::new(),
            askers: SecondaryMap::new(),
            view: State::new(),
            revision: None,
            era: 0,
            needs_listing: true,
            confirmed_at: None,
            waiting: Waiting::Until(now),
            asked: None,
            desk_call: None,
            frozen_until: 0,
        }
    }

    pub fn is_asked(&self, now: u64) -> bool {
        self.desk.is_asked(Millis(now))
    }

    /// Revision from which the node goes on; `None` if it must list the records.
    pub fn goes_on_from(&self) -> Option<Revision> {
        self.revision
            .filter(|it| !self.needs_listing && it.era == self.era)
    }

    /// Applies changes that complete the view up to `revision`.
    pub fn apply(&mut self, changes: &[Change], revision: Revision) {
        for change in changes {
            apply(&mut self.view, change);
        }
        self.revision = self.revision.max(Some(revision));
    }
}
