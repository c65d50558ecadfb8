//! Messages between nodes and the store.

use base::Revision;
use relay::Change;

use crate::store::State;

/// A message in transit, or a timer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Message {
    Ask {
        from: usize,
        to: usize,
        call: u64,
        after: Revision,
    },
    Answer {
        to: usize,
        from: usize,
        call: u64,
        answer: usize,
    },
    /// The store answers a watch or a listing with its state at this time.
    Watch {
        node: usize,
        call: u64,
        until: u64,
    },
    Watched {
        node: usize,
        call: u64,
        result: usize,
    },
    Wake {
        node: usize,
    },
}

/// What the store answers.
#[derive(Clone, Debug)]
pub enum StoreResult {
    Changes(Vec<Change>, Revision),
    Listing(State, Revision),
    /// The store does not have the history since the revision, in this era.
    HistoryGone(u64),
    Failed,
}

/// The changes that lead from one state to another.
pub fn changes_between(before: &State, after: &State, revision: Revision) -> Vec<Change> {
    let written = after.iter().filter(|(key, at)| before.get(*key) != Some(*at));
    let mut changes: Vec<Change> = written
        .map(|(key, at)| Change {
            key: key.clone(),
            revision: Revision::new(revision.era, *at),
            value: Some(bytes::Bytes::new()),
        })
        .collect();
    changes.sort_by_key(|change| change.revision);
    let deleted = before.keys().filter(|key| !after.contains_key(*key));
    changes.extend(deleted.map(|key| Change {
        key: key.clone(),
        revision,
        value: None,
    }));
    changes
}
