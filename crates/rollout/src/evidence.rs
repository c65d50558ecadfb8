//! What a veto rests on.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{Counts, Signal};

/// Why a version was vetoed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// The versions were compared on one route at the same time.
    Compared {
        /// What told them apart.
        signal: Signal,
        /// Counts of the old version.
        old: Counts,
        /// Counts of the new version.
        new: Counts,
    },
    /// An operator asked for it.
    Operator(Name),
}
