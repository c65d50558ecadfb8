//! Gossip between nodes, and the steps of a clock-driven ramp.

use base::Name;
use rollout::guard;
use rollout::{Event, Id, Share, Stage, Vetoes};

use super::{ENDPOINT, Node, Simulation};

impl Simulation {
    pub(super) fn gossip(&mut self) {
        let mut all = Vetoes::new();
        self.nodes
            .iter()
            .filter(|node| !node.partitioned)
            .for_each(|node| {
                all.merge(&node.vetoes);
            });
        for index in 0..self.nodes.len() {
            if !self.nodes[index].partitioned && self.nodes[index].vetoes.merge(&all) {
                self.learn_vetoes(index);
            }
        }
        self.repair();
        for veto in all.iter() {
            for holder in &mut self.holders {
                holder.inbox.push_back(Event::Vetoed(Box::new(veto.clone())));
            }
        }
    }

    /// Nodes that missed an announcement get the latest one from their peers.
    pub(super) fn repair(&mut self) {
        let endpoint = Name::from(ENDPOINT);
        let known = self
            .nodes
            .iter()
            .filter(|node| !node.partitioned)
            .filter_map(|node| node.split.shares(&endpoint));
        let Some(latest) = known.max_by_key(|shares| shares.generation).cloned() else {
            return;
        };
        self.apply(&latest);
    }

    pub(super) fn learn_vetoes(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        for veto in node.vetoes.iter() {
            node.split.veto(veto.rollout);
            node.guard.step(now, guard::Event::Vetoed(veto.rollout));
        }
    }

    pub(super) fn record_full_share(&mut self) {
        let endpoint = Name::from(ENDPOINT);
        let full = |node: &Node| {
            let shares = node.split.shares(&endpoint);
            shares.is_some_and(|shares| self.routes.iter().all(|route| shares.get(route) == Share::FULL))
        };
        if self.observed.full_share_at.is_none() && self.nodes.iter().all(full) {
            self.observed.full_share_at = Some(self.now);
        }
    }

    pub(super) fn step_ramp(&mut self) {
        let (now, start, allowed) = (self.now, self.settings.start, self.settings.time_allowed);
        if now < start {
            return;
        }
        let plan = self.plan(1);
        let Some(ramp) = &mut self.ramp else { return };
        ramp.tick_second();
        let shares = rollout::Shares {
            rollout: Id(1),
            endpoint: plan.endpoint,
            from: plan.from,
            to: plan.to,
            generation: now.0,
            stage: Stage::Moving,
            routes: indexmap::IndexMap::new(),
            default_share: ramp.share(now.since(start), allowed),
        };
        for node in &mut self.nodes {
            node.split.apply(shares.clone());
        }
        self.record_full_share();
    }
}
