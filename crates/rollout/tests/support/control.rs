//! Controllers in the simulation, and the effects of their actions.

use std::collections::VecDeque;

use rollout::guard;
use rollout::{Action, Controller, Event, Id, Stage, Verdict};

use super::{Holder, Simulation};

impl Simulation {
    /// A new holder acquires the role.
    pub fn add_holder(&mut self) {
        self.fence += 1;
        let mut controller = Controller::new().with_settings(self.settings.guard);
        let stored = self.kv.stored.clone().map(Box::new);
        let vetoes = self
            .nodes
            .iter()
            .filter(|node| !node.partitioned)
            .flat_map(|node| node.vetoes.iter().cloned());
        let mut inbox: VecDeque<_> = vetoes.map(|veto| Event::Vetoed(Box::new(veto))).collect();
        let actions = controller.step(
            self.now,
            Event::Acquired {
                fence: self.fence,
                stored,
                wall_time: self.wall_time(),
            },
        );
        inbox.shrink_to_fit();
        self.holders.push(Holder {
            controller,
            inbox,
            paused: false,
            fence: self.fence,
        });
        self.apply_actions(self.holders.len() - 1, actions);
    }

    /// Whether the latest holder of the role exists and is not paused.
    pub fn is_held(&self) -> bool {
        self.holders
            .iter()
            .any(|holder| holder.fence == self.fence && !holder.paused)
    }

    pub fn send(&mut self, holder: usize, event: Event) {
        if let Some(holder) = self.holders.get_mut(holder) {
            holder.inbox.push_back(event);
        }
    }

    pub(super) fn run_holder(&mut self, holder: usize) {
        if self.holders[holder].paused {
            return;
        }
        let mut events = 0;
        while let Some(event) = self.holders[holder].inbox.pop_front() {
            events += 1;
            assert!(events < 1_000, "the controller does not become idle");
            let actions = self.holders[holder].controller.step(self.now, event);
            self.apply_actions(holder, actions);
        }
    }

    pub(super) fn apply_actions(&mut self, holder: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store { record, expected } => {
                    let result = self.kv.store(*record, expected);
                    self.send(holder, Event::Stored(result));
                }
                Action::Load if self.kv.down => self.send(holder, Event::LoadFailed),
                Action::Load => {
                    let stored = self.kv.stored.clone().map(Box::new);
                    self.send(holder, Event::Loaded(stored));
                }
                Action::Announce(shares) => self.announce(&shares),
                Action::Veto(veto) => {
                    self.observed.vetoed_at.get_or_insert(self.now);
                    if let Some(index) = self.nodes.iter().position(|node| !node.partitioned) {
                        self.nodes[index].vetoes.insert(*veto);
                        self.learn_vetoes(index);
                    }
                }
                Action::Accept(id) => self.observed.accepted.push(id),
                Action::Refuse { rollout, .. } => self.observed.refused.push(rollout),
                Action::NotifyEnded { rollout, verdict } => self.record_verdict(rollout, *verdict),
                Action::NotifyLateVeto(_) => {}
            }
        }
    }

    pub(super) fn record_verdict(&mut self, rollout: Id, verdict: Verdict) {
        let before = self.observed.verdicts.iter().find(|(id, _)| *id == rollout);
        assert!(
            before.is_none(),
            "the end was reported twice: {before:?}, then {verdict:?}"
        );
        self.observed.verdicts.push((rollout, verdict));
    }

    pub(super) fn announce(&mut self, shares: &rollout::Shares) {
        let stored = self.kv.stored.as_ref();
        assert!(
            stored.is_some_and(|stored| stored.generation >= shares.generation),
            "shares were announced before they were stored"
        );
        self.check_canary(shares);
        self.apply(shares);
    }

    pub(super) fn apply(&mut self, shares: &rollout::Shares) {
        for node in self.nodes.iter_mut().filter(|node| !node.partitioned) {
            let before = node
                .split
                .shares(&shares.endpoint)
                .map_or(0, |shares| shares.generation);
            if node.split.apply(shares.clone()) {
                assert!(shares.generation > before, "a node applied an older generation");
                node.guard
                    .step(self.now, guard::Event::Applied(Box::new(shares.clone())));
            }
        }
    }

    pub(super) fn check_canary(&self, shares: &rollout::Shares) {
        let Some(stored) = &self.kv.stored else { return };
        let allowed = stored.record.plan.time_allowed().0;
        let late = self.wall_time().since(stored.record.plan.start).0 * 100 >= allowed * 65;
        if shares.stage != Stage::Moving || late {
            return;
        }
        for (route, ended) in self.routes.iter().zip(&self.new_ended) {
            let share = shares.get(route);
            assert!(
                share <= rollout::plan::CANARY_SHARE || *ended >= 60,
                "share {share} of {route} after {ended} requests"
            );
        }
    }
}
