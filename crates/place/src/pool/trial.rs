//! Requests that test replicas whose answers are expected too late.

use base::Millis;

use super::Pool;
use super::cost::Cost;
use crate::replica::Replica;
use crate::{Demand, DispatchOutcome, ReplicaKey};

/// Time that a request must have left to test a replica: one that is sent late shows little.
const MIN_TIME_LEFT: Millis = Millis(300);

impl Pool {
    /// Chooses a replica for a request whose answer is expected too late everywhere, if it may test one. Only replicas with room are
    /// tested: at the others, the request would wait in a queue, of which more is known. With prompt caches, what is expected
    /// follows the prompt and a delay that passes by itself.
    pub(super) fn choose_trial(
        &mut self,
        now: Millis,
        free: &[ReplicaKey],
        demand: &Demand<'_>,
    ) -> Option<(Cost, ReplicaKey)> {
        if self.caches_prompts() || demand.time_left < MIN_TIME_LEFT || !self.trials.admits(now) {
            return None;
        }
        let with_room: Vec<ReplicaKey> = free
            .iter()
            .copied()
            .filter(|key| has_room(&self.replicas[*key], now) && self.is_unlimited(now, *key))
            .collect();
        self.cheapest(now, &with_room, demand)
    }

    /// Records what became of a test.
    pub(super) fn record_trial_end(&mut self, now: Millis, outcome: DispatchOutcome) {
        let is_answered = outcome == DispatchOutcome::Answered;
        let replicas = self.ids.values().map(|key| &self.replicas[*key]);
        let slots = replicas.map(|replica| replica.spec.slots as usize).sum();
        let nodes = self.group.nodes;
        self.trials
            .record_end(now, is_answered, nodes, slots, &mut self.generator);
    }
}

fn has_room(replica: &Replica, now: Millis) -> bool {
    replica.load(now) < replica.spec.slots.max(1) as usize
}
