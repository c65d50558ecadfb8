//! What a node reports to the controller.

use base::{Incarnation, Millis, Name};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Counts, Id, Ratio};

/// Shortest time between two reports of a node.
const MIN_INTERVAL: Millis = Millis(1_000);
/// Time between two reports that reach the controller, over all nodes.
const ARRIVAL_SPACING: Millis = Millis(50);

/// Time between two reports of one node when `nodes` report, so that the controller's traffic stays bounded.
pub fn interval(nodes: u32) -> Millis {
    Millis(ARRIVAL_SPACING.0 * u64::from(nodes)).max(MIN_INTERVAL)
}

/// Cumulative evidence on one route, of one node or of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTotals {
    /// Counts of the old version.
    pub old: Counts,
    /// Counts of the new version.
    pub new: Counts,
    /// Likelihood ratios, in the order of [`crate::Signal::ALL`].
    pub ratios: [Ratio; 3],
    /// Nodes that hold the share back to compare the versions on suspicion.
    pub probing: u32,
}

impl RouteTotals {
    /// Adds evidence gathered independently.
    pub fn add(&mut self, more: &Self) {
        self.old = self.old.plus(&more.old);
        self.new = self.new.plus(&more.new);
        self.probing += more.probing;
        for (ratio, more) in self.ratios.iter_mut().zip(&more.ratios) {
            ratio.add(more);
        }
    }

    /// Takes away evidence added before.
    pub fn subtract(&mut self, less: &Self) {
        self.old = self.old.since(&less.old);
        self.new = self.new.since(&less.new);
        self.probing = self.probing.saturating_sub(less.probing);
        for (ratio, less) in self.ratios.iter_mut().zip(&less.ratios) {
            ratio.subtract(less);
        }
    }
}

/// Everything that one run of a node has seen of a rollout.
///
/// Cumulative: a later summary replaces an earlier one, so taking the same one in twice changes nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The rollout.
    pub rollout: Id,
    /// The node's run.
    pub node: Incarnation,
    /// Grows with each summary of this run.
    pub sequence: u64,
    /// Evidence a route; at most [`crate::guard::endpoint::MAX_ROUTES`].
    pub routes: IndexMap<Name, RouteTotals>,
}
