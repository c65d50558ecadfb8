//! What a node reports to the controller.

use base::{Incarnation, Name};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Counts, Id, Ratio};

/// Cumulative evidence of one node on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Counts of the old version.
    pub old: Counts,
    /// Counts of the new version.
    pub new: Counts,
    /// Likelihood ratios, in the order of [`crate::Signal::ALL`].
    pub ratios: [Ratio; 3],
}

/// Everything that one run of a node has seen of a rollout. A later summary replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The rollout.
    pub rollout: Id,
    /// The node's run.
    pub node: Incarnation,
    /// Grows with each summary of this run.
    pub sequence: u64,
    /// Evidence a route.
    pub routes: IndexMap<Name, Entry>,
}
