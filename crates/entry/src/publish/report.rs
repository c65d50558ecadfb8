//! A node's report.

use std::sync::Arc;

use fleet::capacity::Load;
use indexmap::IndexMap;
use rollout::fast::Tally;
use serde::{Deserialize, Serialize};

use crate::counts::Counts;

/// A node's report. All values are totals or current values, so a later report replaces an earlier one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Sequence number at the node.
    pub number: u64,
    /// Requests that began to run, by usage window and workspace.
    pub counts: Counts,
    /// Load of the node's requests, by endpoint.
    pub busy: IndexMap<Arc<str>, Load>,
    /// Outcomes of requests at both versions of endpoints with a running rollout.
    pub rollouts: IndexMap<Arc<str>, Comparison>,
}

/// Outcomes of requests at the two versions of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Revision of the rollout order.
    pub order: u64,
    /// Outcomes at the old version.
    pub old: Tally,
    /// Outcomes at the new version.
    pub new: Tally,
    /// Requests in flight at the old version.
    pub old_in_flight: u64,
}

impl Comparison {
    /// The outcomes at one of the versions.
    pub const fn tally(&mut self, is_new: bool) -> &mut Tally {
        if is_new { &mut self.new } else { &mut self.old }
    }
}
