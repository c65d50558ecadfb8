//! Controllers, and what their actions do.

use std::collections::VecDeque;

use rollout::guard;
use rollout::{Action, Controller, Event, Id, Stage, Verdict};

use super::{Seat, World};

impl World {
    /// A new holder takes the role up.
    pub fn seat(&mut self) {
        self.fence += 1;
        let mut controller = Controller::new().with_config(self.setting.config);
        let stored = self.kv.stored.clone().map(Box::new);
        let vetoes = self
            .nodes
            .iter()
            .filter(|node| !node.cut)
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
        self.seats.push(Seat {
            controller,
            inbox,
            frozen: false,
            fence: self.fence,
        });
        self.act(self.seats.len() - 1, actions);
    }

    /// Whether the latest holder of the role lives and is awake.
    pub fn is_held(&self) -> bool {
        self.seats
            .iter()
            .any(|seat| seat.fence == self.fence && !seat.frozen)
    }

    pub fn send(&mut self, seat: usize, event: Event) {
        if let Some(seat) = self.seats.get_mut(seat) {
            seat.inbox.push_back(event);
        }
    }

    pub(super) fn seated(&mut self, seat: usize) {
        if self.seats[seat].frozen {
            return;
        }
        let mut events = 0;
        while let Some(event) = self.seats[seat].inbox.pop_front() {
            events += 1;
            assert!(events < 1_000, "a controller that never rests");
            let actions = self.seats[seat].controller.step(self.now, event);
            self.act(seat, actions);
        }
    }

    pub(super) fn act(&mut self, seat: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store { record, expected } => {
                    let result = self.kv.store(*record, expected);
                    self.send(seat, Event::Stored(result));
                }
                Action::Load if self.kv.down => self.send(seat, Event::LoadFailed),
                Action::Load => {
                    let stored = self.kv.stored.clone().map(Box::new);
                    self.send(seat, Event::Loaded(stored));
                }
                Action::Announce(shares) => self.announce(&shares),
                Action::Veto(veto) => {
                    self.tally.vetoed_at.get_or_insert(self.now);
                    if let Some(index) = self.nodes.iter().position(|node| !node.cut) {
                        self.nodes[index].vetoes.insert(*veto);
                        self.learn_vetoes(index);
                    }
                }
                Action::Accept(id) => self.tally.accepted.push(id),
                Action::Refuse { rollout, .. } => self.tally.refused.push(rollout),
                Action::NotifyEnded { rollout, verdict } => self.tell(rollout, *verdict),
                Action::NotifyLateVeto(_) => {}
            }
        }
    }

    pub(super) fn tell(&mut self, rollout: Id, verdict: Verdict) {
        let before = self.tally.tells.iter().find(|(id, _)| *id == rollout);
        assert!(before.is_none(), "told twice: {before:?}, then {verdict:?}");
        self.tally.tells.push((rollout, verdict));
    }

    pub(super) fn announce(&mut self, shares: &rollout::Shares) {
        let stored = self.kv.stored.as_ref();
        assert!(
            stored.is_some_and(|stored| stored.generation >= shares.generation),
            "announced, not stored"
        );
        self.check_canary(shares);
        self.apply(shares);
    }

    pub(super) fn apply(&mut self, shares: &rollout::Shares) {
        for node in self.nodes.iter_mut().filter(|node| !node.cut) {
            let before = node
                .split
                .shares(&shares.endpoint)
                .map_or(0, |shares| shares.generation);
            if node.split.apply(shares.clone()) {
                assert!(shares.generation > before, "a generation went back");
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
        for (route, ended) in self.routes.iter().zip(&self.ended) {
            let share = shares.get(route);
            assert!(
                share <= rollout::plan::CANARY_SHARE || *ended >= 60,
                "{share} of {route} after {ended} requests"
            );
        }
    }
}
