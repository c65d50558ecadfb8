//! Ends of dispatches: what they say of replicas, and the slots that they free.

use base::Millis;
use rand::RngExt;

use super::Router;
use super::flight::Flight;
use crate::action::Action;
use crate::event::Finish;
use crate::failure::{Failure, Kind};
use crate::key::{DispatchId, EndpointKey, ReplicaKey, WorkspaceKey};
use crate::replica::Phase;

impl Router {
    pub(super) fn sent(&mut self, dispatch: DispatchId) {
        if let Some(flight) = self.flights.get_mut(&dispatch) {
            flight.sent = true;
        }
    }

    pub(super) fn first_token(&mut self, now: Millis, dispatch: DispatchId) {
        let Some(flight) = self.flights.get_mut(&dispatch) else {
            return;
        };
        flight.sent = true;
        if flight.first_at.is_some() {
            return;
        }
        flight.first_at = Some(now);
        let flight = *flight;
        self.observe(now, &flight);
        if let Some(call) = flight.call {
            self.set_timer(call, None);
        }
    }

    pub(super) fn finish(&mut self, now: Millis, id: DispatchId, finish: Finish, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.swap_remove(&id) else {
            return;
        };
        self.judge(now, &flight, finish, actions);
        self.free_slot(now, &flight);
        if let Some(call) = flight.call {
            self.end_attempt(now, call, id, &flight, finish, actions);
        }
        self.pump(now, flight.endpoint, actions);
        self.pump_parked(now, flight.workspace, actions);
    }

    /// Takes in the time to an answer's beginning.
    fn observe(&mut self, now: Millis, flight: &Flight) {
        let Some(endpoint) = self.endpoints.get_mut(flight.endpoint) else {
            return;
        };
        let latency = now.since(flight.started_at);
        endpoint.speed.observe_answer(latency);
        let target = endpoint.settings.latency_target;
        if let Some(replica) = self.replicas.get_mut(flight.replica) {
            let load = replica.estimate(now);
            replica.limit.observe(latency, target, load);
        }
        self.refresh(flight.replica);
    }

    /// What the end says about the replica.
    fn judge(&mut self, now: Millis, flight: &Flight, finish: Finish, actions: &mut Vec<Action>) {
        if flight.first_at.is_none() && finish == Finish::Whole {
            self.observe(now, flight);
        }
        match finish {
            Finish::Whole => {
                if let Some(replica) = self.replicas.get_mut(flight.replica) {
                    replica.health.succeed();
                }
            }
            Finish::Failed(failure) => self.judge_failure(now, flight, failure, actions),
            Finish::Cut { .. } => self.count_failure(now, flight.replica),
        }
    }

    fn judge_failure(&mut self, now: Millis, flight: &Flight, failure: Failure, actions: &mut Vec<Action>) {
        match failure.kind {
            Kind::Refused => self.leave(now, flight.replica, Phase::Leaving, actions),
            Kind::Rejected => {
                if let Some(replica) = self.replicas.get_mut(flight.replica) {
                    replica.limit.reject();
                }
            }
            Kind::Cancelled => {}
            Kind::Connect | Kind::Reset | Kind::Timeout | Kind::Status | Kind::Mismatch => {
                self.count_failure(now, flight.replica);
            }
        }
    }

    fn count_failure(&mut self, now: Millis, key: ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if replica.phase > Phase::Live || !replica.health.fail() {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(replica.spec.endpoint) else {
            return;
        };
        if endpoint.ejected.len() >= endpoint.most_ejected() {
            return;
        }
        endpoint.ejected.insert(key);
        let span = replica.health.eject();
        let jitter = Millis(self.generator.random_range(0..=span.0 / 2));
        self.timers
            .set(now + span + jitter, super::due::Due::Replica(key));
        self.refresh(key);
    }

    fn free_slot(&mut self, now: Millis, flight: &Flight) {
        if let Some(workspace) = self.workspaces.get_mut(flight.workspace) {
            workspace.in_flight -= 1;
        }
        if let Some(endpoint) = self.endpoints.get_mut(flight.endpoint) {
            endpoint.in_flight -= 1;
            endpoint.speed.observe_hold(now.since(flight.started_at));
        }
        self.free_replica(flight.replica);
    }

    fn free_replica(&mut self, key: ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.in_flight -= 1;
        if replica.phase == Phase::Gone && replica.in_flight == 0 {
            self.replicas.remove(key);
            return;
        }
        self.refresh(key);
    }

    /// Lets requests go that waited for their workspace's share.
    pub(super) fn pump_parked(&mut self, now: Millis, key: WorkspaceKey, actions: &mut Vec<Action>) {
        let Some(workspace) = self.workspaces.get_mut(key) else {
            return;
        };
        if !workspace.has_share() || workspace.parked.is_empty() {
            return;
        }
        let parked: Vec<EndpointKey> = workspace.parked.drain(..).collect();
        for endpoint in parked {
            if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                endpoint.queue.unpark(key);
            }
            self.pump(now, endpoint, actions);
        }
    }
}
