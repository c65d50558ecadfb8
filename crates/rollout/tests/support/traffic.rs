//! Requests: drawn, sent, ended.

use std::cmp::Reverse;

use base::{Millis, Name};
use rollout::guard;
use rollout::{Arm, Assignment};

use super::{Drawn, ENDPOINT, Flying, TICK, World, draw};

impl World {
    pub(super) fn issue(&mut self) {
        for route in 0..self.routes.len() {
            let mean = self.setting.rates[route] * TICK as f64 / 1_000.0;
            let mut budget = mean;
            while budget > 0.0 && draw(&mut self.rng) < budget.min(1.0) {
                budget -= 1.0;
                self.request(route);
            }
        }
    }

    pub(super) fn request(&mut self, route: usize) {
        use rand::RngExt;
        let node = self.rng.random_range(0..self.nodes.len());
        let ticket = self.rng.random::<u64>();
        let endpoint = Name::from(ENDPOINT);
        let choice = self.nodes[node]
            .split
            .choose(&endpoint, &self.routes[route], ticket);
        let assignment = choice.map(|choice| choice.assignment);
        let arm = assignment.map_or(Arm::Old, |assignment| assignment.arm);
        if let Some(Assignment {
            rollout,
            arm: Arm::New,
            ..
        }) = assignment
        {
            let vetoed = self.nodes[node].vetoes.iter().any(|veto| veto.rollout == rollout);
            assert!(!vetoed, "a request went to a vetoed version");
            self.load[1] += 1;
        }
        let fate = self.truth.fate(self.now, arm, route, self.load[0], &mut self.rng);
        if fate.bad {
            self.tally.on_bad += 1;
            self.tally.bad_since.get_or_insert(self.now);
        }
        self.number += 1;
        self.flying.push(Reverse(Flying {
            end: self.now.0 + fate.latency.0.max(1),
            number: self.number,
            started: self.now.0,
            node,
            route,
            failed: fate.failed,
            drawn: assignment.map(|Assignment { rollout, arm, share }| Drawn { rollout, arm, share }),
        }));
        if self.ramp.is_none() {
            let event = guard::Event::Started {
                endpoint,
                route: self.routes[route].clone(),
                assignment,
            };
            self.nodes[node].guard.step(self.now, event);
        }
    }

    pub(super) fn finish(&mut self) {
        while let Some(Reverse(flying)) = self.flying.peek().copied() {
            if flying.end > self.now.0 {
                return;
            }
            self.flying.pop();
            self.ended[flying.route] += u64::from(flying.drawn.is_some_and(|drawn| drawn.arm == Arm::New));
            if let Some(ramp) = &mut self.ramp {
                let latency = Millis(flying.end - flying.started);
                let usual = crate::truth::USUAL[flying.route % crate::truth::USUAL.len()];
                ramp.end(flying.drawn.map(|drawn| drawn.arm), latency, flying.failed, usual);
                continue;
            }
            let drawn = flying.drawn;
            let assignment = drawn.map(|Drawn { rollout, arm, share }| Assignment { rollout, arm, share });
            let event = guard::Event::Finished {
                endpoint: Name::from(ENDPOINT),
                route: self.routes[flying.route].clone(),
                assignment,
                started: Millis(flying.started),
                failed: flying.failed,
            };
            let actions = self.nodes[flying.node].guard.step(Millis(flying.end), event);
            self.guarded(flying.node, actions);
        }
    }

    pub(super) fn guarded(&mut self, index: usize, actions: Vec<guard::Action>) {
        for action in actions {
            match action {
                guard::Action::Veto(veto) => {
                    self.tally.vetoed_at.get_or_insert(self.now);
                    self.nodes[index].vetoes.insert(*veto);
                    self.learn_vetoes(index);
                }
                guard::Action::Cap { rollout, route, cap } => {
                    self.nodes[index].split.cap(rollout, &route, cap);
                }
            }
        }
    }
}
