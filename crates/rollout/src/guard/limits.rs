//! The settings of a guard.

use base::Millis;

use crate::Share;

/// Settings of a [`crate::Guard`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Probability that a good version is ever undone during one rollout, over all nodes, routes, signals and
    /// looks; half of it belongs to the nodes and half to the controller.
    pub false_undo: f64,
    /// Nodes among which the error rate is divided.
    pub nodes: u32,
    /// The new version's share while it is compared on suspicion.
    pub probe: Share,
    /// A suspicion is given up after this time without a finding.
    pub probe_time: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            false_undo: 0.01,
            nodes: 16,
            probe: Share::from_percent(25),
            probe_time: Millis::from_secs(60),
        }
    }
}

impl Limits {
    /// These limits with another rate of false undos a rollout.
    pub const fn with_false_undo(mut self, rate: f64) -> Self {
        self.false_undo = rate;
        self
    }

    /// These limits for another number of nodes.
    pub const fn with_nodes(mut self, nodes: u32) -> Self {
        self.nodes = nodes;
        self
    }

    /// These limits with another share on suspicion.
    pub const fn with_probe(mut self, probe: Share) -> Self {
        self.probe = probe;
        self
    }

    /// Evidence in nats that suffices for a veto by one of `tests` tests on one node.
    pub fn sufficient(&self, tests: usize) -> f64 {
        (2.0 * f64::from(self.nodes.max(1)) * tests.max(1) as f64 / self.false_undo).ln()
    }

    /// Evidence in nats that suffices for a veto by one of `tests` tests on all nodes' evidence together.
    pub fn sufficient_pooled(&self, tests: usize) -> f64 {
        (2.0 * tests.max(1) as f64 / self.false_undo).ln()
    }
}
