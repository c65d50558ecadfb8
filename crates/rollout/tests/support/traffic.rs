//! Requests in the simulation: drawing, sending and ending them.

use std::cmp::Reverse;

use base::{Millis, Name};
use rollout::guard;
use rollout::{Arm, Assignment};

use super::{Drawn, ENDPOINT, PendingRequest, Simulation, TICK, uniform};

impl Simulation {
    pub(super) fn issue_requests(&mut self) {
        for route in 0..self.routes.len() {
            let mean = self.settings.rates[route] * TICK as f64 / 1_000.0;
            let mut budget = mean;
            while budget > 0.0 && uniform(&mut self.rng) < budget.min(1.0) {
                budget -= 1.0;
                self.send_request(route);
            }
        }
    }

    pub(super) fn send_request(&mut self, route: usize) {
        use rand::RngExt;
        let node = self.rng.random_range(0..self.nodes.len());
        let random_draw = self.rng.random::<u64>();
        let endpoint = Name::from(ENDPOINT);
        let choice = self.nodes[node]
            .split
            .choose(&endpoint, &self.routes[route], random_draw);
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
            self.new_per_second[1] += 1;
        }
        let outcome = self
            .behavior
            .outcome(self.now, arm, route, self.new_per_second[0], &mut self.rng);
        if outcome.bad {
            self.observed.served_bad += 1;
            self.observed.bad_since.get_or_insert(self.now);
        }
        self.request_number += 1;
        self.pending.push(Reverse(PendingRequest {
            end: self.now.0 + outcome.latency.0.max(1),
            number: self.request_number,
            started: self.now.0,
            node,
            route,
            failed: outcome.failed,
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

    pub(super) fn finish_requests(&mut self) {
        while let Some(Reverse(pending)) = self.pending.peek().copied() {
            if pending.end > self.now.0 {
                return;
            }
            self.pending.pop();
            self.new_ended[pending.route] +=
                u64::from(pending.drawn.is_some_and(|drawn| drawn.arm == Arm::New));
            if let Some(ramp) = &mut self.ramp {
                let latency = Millis(pending.end - pending.started);
                let mean_latency_ms =
                    crate::behavior::MEAN_LATENCY_MS[pending.route % crate::behavior::MEAN_LATENCY_MS.len()];
                ramp.end(
                    pending.drawn.map(|drawn| drawn.arm),
                    latency,
                    pending.failed,
                    mean_latency_ms,
                );
                continue;
            }
            let drawn = pending.drawn;
            let assignment = drawn.map(|Drawn { rollout, arm, share }| Assignment { rollout, arm, share });
            let event = guard::Event::Finished {
                endpoint: Name::from(ENDPOINT),
                route: self.routes[pending.route].clone(),
                assignment,
                started: Millis(pending.started),
                failed: pending.failed,
            };
            let actions = self.nodes[pending.node].guard.step(Millis(pending.end), event);
            self.apply_guard_actions(pending.node, actions);
        }
    }

    pub(super) fn apply_guard_actions(&mut self, index: usize, actions: Vec<guard::Action>) {
        for action in actions {
            match action {
                guard::Action::Veto(veto) => {
                    self.observed.vetoed_at.get_or_insert(self.now);
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
