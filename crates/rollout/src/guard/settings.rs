//! Settings of the comparison.

use base::Millis;

use crate::Share;

/// Settings of a [`crate::Guard`], and of a controller's tests on pooled evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Probability that a good version is ever undone during one rollout, over all nodes, routes, signals and
    /// checks. Half of it is allotted to the nodes and half to the controller.
    pub false_undo_rate: f64,
    /// Number of nodes among which the error rate is divided.
    pub nodes: u32,
    /// Share of the new version while a suspicion is checked.
    pub probe_share: Share,
    /// Time after which a suspicion without a finding is dropped.
    pub probe_timeout: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            false_undo_rate: 0.01,
            nodes: 16,
            probe_share: Share::from_percent(25),
            probe_timeout: Millis::from_secs(60),
        }
    }
}

impl Settings {
    /// Replaces the rate of false undos per rollout.
    pub const fn with_false_undo_rate(mut self, rate: f64) -> Self {
        self.false_undo_rate = rate;
        self
    }

    /// Replaces the number of nodes.
    pub const fn with_nodes(mut self, nodes: u32) -> Self {
        self.nodes = nodes;
        self
    }

    /// Replaces the share while a suspicion is checked.
    pub const fn with_probe_share(mut self, probe_share: Share) -> Self {
        self.probe_share = probe_share;
        self
    }

    /// Evidence in nats at which one of `tests` tests on one node vetoes the new version.
    pub fn veto_threshold(&self, tests: usize) -> f64 {
        (2.0 * f64::from(self.nodes.max(1)) * tests.max(1) as f64 / self.false_undo_rate).ln()
    }

    /// Evidence in nats at which one of `tests` tests on the pooled evidence vetoes the new version.
    pub fn pooled_veto_threshold(&self, tests: usize) -> f64 {
        (2.0 * tests.max(1) as f64 / self.false_undo_rate).ln()
    }
}
