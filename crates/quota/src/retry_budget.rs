//! Retry budget of one node for one endpoint.

use std::collections::VecDeque;

use base::Millis;

/// Number of retries that all nodes together may send to one endpoint in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Length of the sliding window.
    pub window: Millis,
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Additional retries in each window, over all nodes together.
    pub slack: f64,
    /// Number of nodes that share the slack.
    pub nodes: usize,
}

impl RetryPolicy {
    /// Returns this node's share of the slack.
    fn node_slack(&self) -> f64 {
        // Each node withholds one retry to allow for rounding.
        (self.slack / self.nodes.max(1) as f64 - 1.0).max(0.0)
    }
}

/// Requests and retries that one node sent to one endpoint within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates a budget without recorded requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the first dispatch of a request.
    pub fn record_request(&mut self, now: Millis, policy: &RetryPolicy) {
        drop_expired(&mut self.requests, now, policy.window);
        self.requests.push_back(now);
    }

    /// Spends one retry; returns whether one was left.
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
