//! Reports of evidence from nodes to the controller.

use base::{Incarnation, Millis, Name};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Counts, Id, Ratio};

/// Shortest time between two reports of one node.
const MIN_INTERVAL: Millis = Millis(1_000);
/// Mean time between reports that reach the controller, over all nodes.
const ARRIVAL_SPACING: Millis = Millis(50);

/// Time between two reports of one node when `nodes` nodes report. It grows with their number, which bounds
/// the load on the controller.
pub fn interval(nodes: u32) -> Millis {
    Millis(ARRIVAL_SPACING.0 * u64::from(nodes)).max(MIN_INTERVAL)
}

/// Cumulative evidence on one route, from one node or several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTotals {
    /// Counters of the old version.
    pub old: Counts,
    /// Counters of the new version.
    pub new: Counts,
    /// Likelihood ratios, in the order of [`crate::Signal::ALL`].
    pub ratios: [Ratio; 3],
    /// Number of nodes that currently reduce the share to check a suspicion.
    pub probing: u32,
}

impl RouteTotals {
    /// Adds independent evidence.
    pub fn add(&mut self, more: &Self) {
        self.old = self.old.plus(&more.old);
        self.new = self.new.plus(&more.new);
        self.probing += more.probing;
        for (ratio, more) in self.ratios.iter_mut().zip(&more.ratios) {
            ratio.add(more);
        }
    }

    /// Subtracts evidence that was added before.
    pub fn subtract(&mut self, less: &Self) {
        self.old = self.old.since(&less.old);
        self.new = self.new.since(&less.new);
        self.probing = self.probing.saturating_sub(less.probing);
        for (ratio, less) in self.ratios.iter_mut().zip(&less.ratios) {
            ratio.subtract(less);
        }
    }
}

/// All evidence of one node incarnation on a rollout.
///
/// Summaries are cumulative: a later one replaces an earlier one, so duplicates have no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Id of the rollout.
    pub rollout: Id,
    /// Incarnation of the node.
    pub node: Incarnation,
    /// Increases with each summary of this incarnation.
    pub sequence: u64,
    /// Evidence by route, for at most [`crate::guard::endpoint::MAX_ROUTES`] routes.
    pub routes: IndexMap<Name, RouteTotals>,
}
