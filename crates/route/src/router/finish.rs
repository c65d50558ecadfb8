//! Ends of dispatches: health and latency of replicas, and release of slots.

use base::Millis;
use rand::RngExt;

use super::Router;
use super::attempt::Attempt;
use crate::action::Action;
use crate::event::Finish;
use crate::failure::{Failure, Kind};
use crate::key::{DispatchId, EndpointKey, ReplicaKey, WorkspaceKey};
use crate::replica::Phase;

impl Router {
    pub(super) fn sent(&mut self, dispatch: DispatchId) {
        if let Some(attempt) = self.attempts.get_mut(&dispatch) {
            attempt.sent = true;
        }
    }

    pub(super) fn first_token(&mut self, now: Millis, dispatch: DispatchId) {
        let Some(attempt) = self.attempts.get_mut(&dispatch) else {
            return;
        };
        attempt.sent = true;
        if attempt.first_token_at.is_some() {
            return;
        }
        attempt.first_token_at = Some(now);
        let attempt = *attempt;
        self.observe_latency(now, &attempt);
        if let Some(call) = attempt.call {
            self.set_timer(call, None);
        }
    }

    pub(super) fn finish(&mut self, now: Millis, id: DispatchId, finish: Finish, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.swap_remove(&id) else {
            return;
        };
        self.record_result(now, &attempt, finish, actions);
        self.release_slot(now, &attempt);
        if let Some(call) = attempt.call {
            self.end_attempt(now, call, id, &attempt, finish, actions);
        }
        self.dispatch_queued(now, attempt.endpoint, actions);
        self.resume_parked(now, attempt.workspace, actions);
    }

    /// Records the time to the first token or byte.
    fn observe_latency(&mut self, now: Millis, attempt: &Attempt) {
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else {
            return;
        };
        let latency = now.since(attempt.started_at);
        endpoint.latency.observe_first_token(latency);
        let target = endpoint.settings.latency_target;
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            let load = replica.estimated_load(now);
            replica.limit.observe(latency, target, load);
        }
        self.update_free_pool(attempt.replica);
    }

    /// Updates the health and limit of the replica.
    fn record_result(&mut self, now: Millis, attempt: &Attempt, finish: Finish, actions: &mut Vec<Action>) {
        if attempt.first_token_at.is_none() && finish == Finish::Complete {
            self.observe_latency(now, attempt);
        }
        match finish {
            Finish::Complete => {
                if let Some(replica) = self.replicas.get_mut(attempt.replica) {
                    replica.health.record_success();
                }
            }
            Finish::Failed(failure) => self.record_failure(now, attempt, failure, actions),
            Finish::Interrupted { .. } => self.count_failure(now, attempt.replica),
        }
    }

    fn record_failure(
        &mut self,
        now: Millis,
        attempt: &Attempt,
        failure: Failure,
        actions: &mut Vec<Action>,
    ) {
        match failure.kind {
            Kind::Refused => self.advance_phase(now, attempt.replica, Phase::Leaving, actions),
            Kind::Rejected => {
                if let Some(replica) = self.replicas.get_mut(attempt.replica) {
                    replica.limit.record_rejection();
                }
            }
            Kind::Cancelled => {}
            Kind::Connect | Kind::Reset | Kind::Timeout | Kind::ServerError | Kind::Mismatch => {
                self.count_failure(now, attempt.replica);
            }
        }
    }

    fn count_failure(&mut self, now: Millis, key: ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if replica.phase > Phase::Live || !replica.health.record_failure() {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(replica.placement.endpoint) else {
            return;
        };
        if endpoint.ejected.len() >= endpoint.max_ejected() {
            return;
        }
        endpoint.ejected.insert(key);
        let duration = replica.health.eject();
        let jitter = Millis(self.generator.random_range(0..=duration.0 / 2));
        self.timers
            .set(now + duration + jitter, super::timers::Target::Replica(key));
        self.update_free_pool(key);
    }

    fn release_slot(&mut self, now: Millis, attempt: &Attempt) {
        if let Some(workspace) = self.workspaces.get_mut(attempt.workspace) {
            workspace.in_flight -= 1;
        }
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.in_flight -= 1;
            if let Some(prefix) = attempt.prefix {
                endpoint.prefixes.record_end(prefix);
            }
            endpoint
                .latency
                .observe_service_time(now.since(attempt.started_at));
        }
        self.release_replica_slot(attempt.replica);
    }

    fn release_replica_slot(&mut self, key: ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.in_flight -= 1;
        if replica.phase == Phase::Gone && replica.in_flight == 0 {
            self.replicas.remove(key);
            return;
        }
        self.update_free_pool(key);
    }

    /// Dispatches requests that were held back because their workspace had reached its share.
    pub(super) fn resume_parked(&mut self, now: Millis, key: WorkspaceKey, actions: &mut Vec<Action>) {
        let Some(workspace) = self.workspaces.get_mut(key) else {
            return;
        };
        if !workspace.is_below_share() || workspace.parked.is_empty() {
            return;
        }
        let parked: Vec<EndpointKey> = workspace.parked.drain(..).collect();
        for endpoint in parked {
            if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                endpoint.queue.unpark(key);
            }
            self.dispatch_queued(now, endpoint, actions);
        }
    }
}
