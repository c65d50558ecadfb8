//! Messages between an asking node and a reader.

use base::Revision;
use serde::{Deserialize, Serialize};

use crate::Change;

/// A question for the changes since a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The asker knows all changes up to this revision.
    pub after: Revision,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The changes since the revision of the question.
    Changes {
        /// The changes in revision order.
        changes: Vec<Change>,
        /// Revision up to which they are complete.
        revision: Revision,
        /// Whether they leave out records that were both written and deleted since the revision of the question.
        is_difference: bool,
        /// Whether a call that was sent to the store after the question arrived confirms that they are complete.
        is_confirmed: bool,
    },
    /// The reader does not have all changes since the revision of the question.
    HistoryGone {
        /// Revision up to which the reader knows the store.
        revision: Revision,
    },
    /// The reader has no access to the store.
    Unavailable,
}

impl Answer {
    /// Whether the reader has not seen the restore of the store that the asker has seen. Such an answer changes nothing.
    pub const fn is_earlier_than(&self, known: Revision) -> bool {
        match self {
            Self::Changes { revision, .. } | Self::HistoryGone { revision } => revision.era < known.era,
            Self::Unavailable => false,
        }
    }

    /// Whether the reader has seen a restore of the store that the asker has not seen, so that the asker must list the
    /// records.
    pub const fn is_later_than(&self, known: Revision) -> bool {
        match self {
            Self::Changes { revision, .. } | Self::HistoryGone { revision } => revision.era > known.era,
            Self::Unavailable => false,
        }
    }
}
