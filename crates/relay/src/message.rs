//! Messages between an asking node and a reader.

use serde::{Deserialize, Serialize};

use crate::Change;

/// A question for the changes since a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The asker knows all changes up to this revision.
    pub after: u64,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The changes since the revision of the question.
    Changes {
        /// The changes in revision order.
        changes: Vec<Change>,
        /// Revision up to which they are complete.
        revision: u64,
        /// Whether they leave out records that were both written and deleted since the revision of the question.
        is_difference: bool,
        /// Whether a call that was sent to the store after the question arrived confirms that they are complete.
        is_confirmed: bool,
    },
    /// The reader does not have all changes since the revision; the asker must list the records.
    HistoryGone,
    /// The reader has no access to the store.
    Unavailable,
}
