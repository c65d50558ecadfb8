//! How often one node may dispatch a request again.

use std::collections::VecDeque;

use base::Millis;

/// What all nodes together may dispatch again to one endpoint, in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Length of the sliding window.
    pub window: Millis,
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats of all nodes together besides.
    pub slack: f64,
    /// Nodes that share the slack.
    pub nodes: usize,
}

impl Policy {
    /// This node's part of the slack.
    fn own_slack(&self) -> f64 {
        // One repeat is kept back for rounding at each node.
        (self.slack / self.nodes.max(1) as f64 - 1.0).max(0.0)
    }
}

/// One node's requests and repeats to one endpoint within the window.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl Allowance {
    /// Nothing counted yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request's first dispatch.
    pub fn request(&mut self, now: Millis, policy: &Policy) {
        expire(&mut self.requests, now, policy.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat; whether there was one left.
    pub fn take(&mut self, now: Millis, policy: &Policy) -> bool {
        expire(&mut self.requests, now, policy.window);
        expire(&mut self.repeats, now, policy.window);
        let most = policy
            .ratio
            .mul_add(self.requests.len() as f64, policy.own_slack());
        if self.repeats.len() as f64 + 1.0 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn expire(moments: &mut VecDeque<Millis>, now: Millis, window: Millis) {
    while moments.front().is_some_and(|at| now.since(*at) >= window) {
        moments.pop_front();
    }
}
