//! Grounds of a veto.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{Counts, Signal};

/// The grounds on which a version was vetoed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// A concurrent comparison of the versions found the new one worse.
    Compared {
        /// Signal that was more frequent on the new version.
        signal: Signal,
        /// Counters of the old version.
        old: Counts,
        /// Counters of the new version.
        new: Counts,
    },
    /// An operator undid the rollout.
    Operator(Name),
}
