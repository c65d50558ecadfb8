//! How often one node may dispatch a request again.

use std::collections::VecDeque;

use base::Millis;

/// What all nodes together may dispatch again to one endpoint, in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Length of the sliding window.
    pub window: Millis,
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats of all nodes together besides.
    pub slack: f64,
    /// Nodes that share the slack.
    pub nodes: usize,
}

impl RetryPolicy {
    /// This node's part of the slack.
    fn node_slack(&self) -> f64 {
        // One repeat is kept back for rounding at each node.
        (self.slack / self.nodes.max(1) as f64 - 1.0).max(0.0)
    }
}

/// One node's requests and repeats to one endpoint within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Nothing counted yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request's first dispatch.
    pub fn record_request(&mut self, now: Millis, policy: &RetryPolicy) {
        drop_expired(&mut self.requests, now, policy.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat; whether there was one left.
    pub fn try_retry(&mut self, now: Millis, policy: &RetryPolicy) -> bool {
        drop_expired(&mut self.requests, now, policy.window);
        drop_expired(&mut self.retries, now, policy.window);
        let max_retries = policy
            .ratio
            .mul_add(self.requests.len() as f64, policy.node_slack());
        if self.retries.len() as f64 + 1.0 > max_retries {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn drop_expired(times: &mut VecDeque<Millis>, now: Millis, window: Millis) {
    while times.front().is_some_and(|at| now.since(*at) >= window) {
        times.pop_front();
    }
}
