//! Random split of traffic between versions.

use base::Name;
use indexmap::{IndexMap, IndexSet};

use crate::vetoes::MAX_VETOES;
use crate::{Arm, Assignment, Choice, Id, Share, Shares, Stage};

/// Shares of one endpoint on this node.
#[derive(Clone, Debug)]
struct EndpointShares {
    shares: Shares,
    /// Upper bounds set by this node's guard, by route.
    caps: IndexMap<Name, Share>,
    vetoed: bool,
}

impl EndpointShares {
    fn share(&self, route: &Name) -> Share {
        if self.vetoed {
            return Share::ZERO;
        }
        match self.shares.stage {
            Stage::Done => Share::FULL,
            Stage::Undone => Share::ZERO,
            Stage::Moving | Stage::Watching => {
                let announced = self.shares.get(route);
                self.caps.get(route).map_or(announced, |cap| announced.min(*cap))
            }
        }
    }
}

/// Draws the version of each request. A node has one split for all its endpoints.
#[derive(Clone, Debug, Default)]
pub struct Split {
    endpoints: IndexMap<Name, EndpointShares>,
    vetoed: IndexSet<Id>,
}

impl Split {
    /// Creates a split without any rollout.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies announced shares. Returns false if they are not newer than those in force.
    pub fn apply(&mut self, shares: Shares) -> bool {
        let vetoed = self.vetoed.contains(&shares.rollout);
        match self.endpoints.get_mut(&shares.endpoint) {
            Some(entry) if shares.generation <= entry.shares.generation => return false,
            Some(entry) if entry.shares.rollout == shares.rollout => entry.shares = shares,
            _ => {
                let caps = IndexMap::new();
                let endpoint = shares.endpoint.clone();
                self.endpoints
                    .insert(endpoint, EndpointShares { shares, caps, vetoed });
            }
        }
        true
    }

    /// Sets the share of a rollout's new version to zero, immediately and permanently.
    pub fn veto(&mut self, rollout: Id) {
        if self.vetoed.len() == MAX_VETOES && !self.vetoed.contains(&rollout) {
            self.vetoed.shift_remove_index(0);
        }
        self.vetoed.insert(rollout);
        for entry in self.endpoints.values_mut() {
            entry.vetoed |= entry.shares.rollout == rollout;
        }
    }

    /// Limits the share of a route on this node to `cap`; `None` removes the limit.
    pub fn cap(&mut self, rollout: Id, route: &Name, cap: Option<Share>) {
        let Some(entry) = self
            .endpoints
            .values_mut()
            .find(|entry| entry.shares.rollout == rollout)
        else {
            return;
        };
        match cap {
            Some(cap) => entry.caps.insert(route.clone(), cap),
            None => entry.caps.swap_remove(route),
        };
    }

    /// Chooses the version for a request by a uniform random `draw`. Returns `None` if the endpoint has no
    /// rollout.
    pub fn choose(&self, endpoint: &Name, route: &Name, draw: u64) -> Option<Choice<'_>> {
        let entry = self.endpoints.get(endpoint)?;
        let share = entry.share(route);
        let (arm, version) = if share.contains(draw) {
            (Arm::New, &entry.shares.to)
        } else {
            (Arm::Old, &entry.shares.from)
        };
        let assignment = Assignment {
            rollout: entry.shares.rollout,
            arm,
            share,
        };
        Some(Choice { version, assignment })
    }

    /// Shares in force for an endpoint.
    pub fn shares(&self, endpoint: &Name) -> Option<&Shares> {
        self.endpoints.get(endpoint).map(|entry| &entry.shares)
    }
}
