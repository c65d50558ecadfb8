//! The settings of a guard.

use base::Millis;

use crate::Share;

/// Settings of a [`crate::Guard`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Probability that a good version is ever undone during one rollout, over all nodes, routes, signals and
    /// looks; half of it belongs to the nodes and half to the controller.
    pub false_undo_rate: f64,
    /// Nodes among which the error rate is divided.
    pub nodes: u32,
    /// The new version's share while it is compared on suspicion.
    pub probe_share: Share,
    /// A suspicion is given up after this time without a finding.
    pub probe_timeout: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            false_undo_rate: 0.01,
            nodes: 16,
            probe_share: Share::from_percent(25),
            probe_timeout: Millis::from_secs(60),
        }
    }
}

impl Config {
    /// These limits with another rate of false undos a rollout.
    pub const fn with_false_undo_rate(mut self, rate: f64) -> Self {
        self.false_undo_rate = rate;
        self
    }

    /// These limits for another number of nodes.
    pub const fn with_nodes(mut self, nodes: u32) -> Self {
        self.nodes = nodes;
        self
    }

    /// These limits with another share on suspicion.
    pub const fn with_probe_share(mut self, probe_share: Share) -> Self {
        self.probe_share = probe_share;
        self
    }

    /// Evidence in nats that suffices for a veto by one of `tests` tests on one node.
    pub fn veto_threshold(&self, tests: usize) -> f64 {
        (2.0 * f64::from(self.nodes.max(1)) * tests.max(1) as f64 / self.false_undo_rate).ln()
    }

    /// Evidence in nats that suffices for a veto by one of `tests` tests on all nodes' evidence together.
    pub fn pooled_veto_threshold(&self, tests: usize) -> f64 {
        (2.0 * tests.max(1) as f64 / self.false_undo_rate).ln()
    }
}
