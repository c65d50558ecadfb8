//! Capacity that is kept for more urgent requests, and for workspaces that use less than others.

use admission::{Allowance, Class, Urgency};
use base::Millis;
use rand::RngExt;

use super::Pool;
use super::cost::Cost;
use crate::dispatch::Dispatch;
use crate::{Choice, Demand, Refusal, ReplicaKey};

/// Multiple of the time until a prompt is late from which on it is treated as late. Half of the prompts that are expected at the
/// target are on time, since it is not known for certain what a replica has cached and what others have sent to it.
const LATE_FACTOR: f64 = 1.5;

/// How much of the capacity of an endpoint's replicas is in use, as far as a node knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Part of the slots.
    pub slots: f64,
    /// Time since a replica last reported its load to this node; `None` if none has.
    pub report_age: Option<Millis>,
}

impl Pool {
    /// Leaves the replicas that a request may use, and whether it may only use what others don't need.
    ///
    /// Load pattern: a burst of less urgent prompts while half of the replicas are lost. A prompt that can't be on time, or meets
    /// a queue that makes more urgent ones late, goes where slots are to spare, or is refused.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        free: Vec<ReplicaKey>,
        demand: &Demand<'_>,
    ) -> Result<(Vec<ReplicaKey>, bool), Refusal> {
        let Some(urgency) = demand.urgency.filter(|_| !free.is_empty()) else {
            return Ok((free, false));
        };
        let allowance = self.allowance(now, &urgency, demand);
        let ahead = self.contention.part_ahead(urgency.class);
        let has_room = |key: &ReplicaKey, is_late: bool| {
            let queue = Millis(self.queue_ms(now, *key, ahead) as u64);
            allowance.has_room(self.slots_used(now, *key), queue, is_late)
        };
        let on_time: Vec<ReplicaKey> = free.iter().copied().filter(|key| has_room(key, false)).collect();
        if !self.caches_prompts() {
            // Without an engine that orders requests by priority, late ones would delay others all the same.
            return if on_time.is_empty() {
                Err(Refusal::Reserved(self.retry_wait(now, demand)))
            } else {
                Ok((on_time, false))
            };
        }
        let spare: Vec<ReplicaKey> = free.into_iter().filter(|key| has_room(key, true)).collect();
        let target_ms = urgency.target_left.0 as f64;
        let cheapest = self.cheapest(now, &on_time, demand);
        let wait_ms = |(cost, key): (Cost, ReplicaKey)| {
            cost.wait_ms - self.queue_ms(now, key, 1.0) + self.queue_ms(now, key, ahead)
        };
        match cheapest.map(wait_ms) {
            Some(wait_ms) if wait_ms <= target_ms * LATE_FACTOR => Ok((on_time, false)),
            _ if !spare.is_empty() => Ok((spare, true)),
            _ => Err(Refusal::Reserved(self.retry_wait(now, demand))),
        }
    }

    /// Records a request that is sent, and returns the class that the engine takes it for.
    pub(super) fn record_sent(&mut self, now: Millis, choice: &Choice, demand: &Demand<'_>) -> Option<Class> {
        let urgency = demand.urgency?;
        if demand.tried.is_empty() {
            self.contention.record_admitted(now, work(demand));
        }
        let class = if choice.is_spare {
            Class::LAST
        } else {
            urgency.class
        };
        self.contention
            .add_unread(class, u64::from(choice.prefill_tokens));
        Some(class)
    }

    /// Records that a replica has read a prompt, or does not any more.
    pub(super) fn record_read(&mut self, dispatch: &Dispatch) {
        if let Some(class) = dispatch.class {
            let tokens = u64::from(dispatch.prefill_tokens);
            self.contention.remove_unread(class, tokens);
        }
    }

    /// How much of the capacity is in use.
    pub fn occupancy(&self, now: Millis) -> Occupancy {
        let replicas = self.ids.values().map(|key| &self.replicas[*key]);
        let (mut used, mut slots, mut heard) = (0, 0, None);
        for replica in replicas {
            used += replica.load(now);
            slots += self.max_load(replica);
            heard = heard.max(replica.load_reported_at());
        }
        Occupancy {
            slots: used as f64 / slots.max(1) as f64,
            report_age: heard.map(|at| now.since(at)),
        }
    }

    fn allowance(&mut self, now: Millis, urgency: &Urgency, demand: &Demand<'_>) -> Allowance {
        if demand.tried.is_empty() {
            self.contention.record_offered(now, urgency, work(demand));
        }
        let draws = [
            self.generator.random_range(0.0..1.0),
            self.generator.random_range(0.0..1.0),
        ];
        self.contention.allowance(now, urgency, draws)
    }

    fn slots_used(&self, now: Millis, key: ReplicaKey) -> f64 {
        let replica = &self.replicas[key];
        replica.load(now) as f64 / self.max_load(replica) as f64
    }

    /// Expected wait before a replica begins with a new prompt, in milliseconds, if its engine processes this part of the queue
    /// before it.
    fn queue_ms(&self, now: Millis, key: ReplicaKey, ahead: f64) -> f64 {
        let replica = &self.replicas[key];
        let unread = replica.unread_tokens(now) as f64;
        (self.prefill_ms(now, replica, unread) + replica.delay_ms(now)) * ahead
    }
}

/// Work of a request, in tokens. Shared parts are mostly cached.
fn work(demand: &Demand<'_>) -> f64 {
    f64::from(demand.own_tokens()) + f64::from(demand.output_tokens) + 1.0
}
