//! Cancellations, and updates of endpoints, workspaces and replicas.

use base::Millis;

use super::Router;
use super::call::State;
use crate::action::Action;
use crate::endpoint;
use crate::key::{CallKey, EndpointKey, Prefix, ReplicaKey, WorkspaceKey};
use crate::refusal::Reason;
use crate::replica::{Phase, Report};
use crate::workspace;

impl Router {
    /// Ends a request without an action for its caller, who cancelled it.
    pub(super) fn cancel_call(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.set_timer(key, None);
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        match call.state {
            State::Waiting => self.dequeue(key),
            State::Backoff => {}
            State::InFlight(dispatch) | State::Expired(dispatch) => {
                self.cancel_dispatch(dispatch, actions);
                if let Some(attempt) = self.attempts.get_mut(&dispatch) {
                    attempt.call = None;
                }
            }
        }
        self.calls.swap_remove(&key);
    }

    pub(super) fn change_endpoint(
        &mut self,
        now: Millis,
        key: EndpointKey,
        settings: endpoint::Settings,
        actions: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.settings = settings;
        }
        self.dispatch_queued(now, key, actions);
    }

    pub(super) fn remove_endpoint(&mut self, now: Millis, key: EndpointKey, actions: &mut Vec<Action>) {
        if self.endpoints.remove(key).is_none() {
            return;
        }
        for replica in self.replicas_of(key) {
            self.advance_phase(now, replica, Phase::Gone, actions);
        }
        for workspace in self.workspaces.values_mut() {
            workspace.parked.swap_remove(&key);
        }
        self.refuse_not_in_flight(Reason::NoEndpoint, actions, |arrival| arrival.endpoint == key);
    }

    pub(super) fn change_workspace(
        &mut self,
        now: Millis,
        key: WorkspaceKey,
        settings: workspace::Settings,
        actions: &mut Vec<Action>,
    ) {
        let Some(workspace) = self.workspaces.get_mut(key) else {
            return;
        };
        workspace.settings = settings;
        self.resume_parked(now, key, actions);
    }

    pub(super) fn remove_workspace(&mut self, now: Millis, key: WorkspaceKey, actions: &mut Vec<Action>) {
        if self.workspaces.remove(key).is_none() {
            return;
        }
        self.refuse_not_in_flight(Reason::NoWorkspace, actions, |arrival| arrival.workspace == key);
        let endpoints: Vec<EndpointKey> = self.endpoints.keys().collect();
        for endpoint in endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                endpoint.queue.remove_workspace(key);
            }
            self.dispatch_queued(now, endpoint, actions);
        }
    }

    /// Refuses all matching requests that are queued or in backoff.
    fn refuse_not_in_flight<F>(&mut self, reason: Reason, actions: &mut Vec<Action>, matches: F)
    where
        F: Fn(&crate::arrival::Arrival) -> bool,
    {
        let not_in_flight: Vec<CallKey> = self
            .calls
            .iter()
            .filter(|(_, call)| matches!(call.state, State::Waiting | State::Backoff))
            .filter(|(_, call)| matches(&call.arrival))
            .map(|(key, _)| *key)
            .collect();
        for key in not_in_flight {
            self.refuse_waiting(key, reason, actions);
        }
    }

    fn replicas_of(&self, endpoint: EndpointKey) -> Vec<ReplicaKey> {
        let replicas = self.replicas.iter();
        replicas
            .filter(|(_, replica)| replica.placement.endpoint == endpoint)
            .map(|(key, _)| key)
            .collect()
    }

    /// Advances the phase of a replica, which gets no further requests.
    pub(super) fn advance_phase(
        &mut self,
        now: Millis,
        key: ReplicaKey,
        phase: Phase,
        actions: &mut Vec<Action>,
    ) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let was_live = replica.phase == Phase::Live;
        replica.phase = replica.phase.max(phase);
        let placement = replica.placement;
        let is_finished = replica.phase == Phase::Gone && replica.in_flight == 0;
        self.update_free_pool(key);
        if is_finished {
            self.replicas.remove(key);
        }
        if !was_live {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(placement.endpoint) else {
            return;
        };
        endpoint.pools.remove(placement);
        endpoint.ejected.swap_remove(&key);
        self.restore_ejected(now, placement.endpoint, actions);
        self.refuse_unservable(placement.endpoint, actions);
    }

    /// Probes ejected replicas early when too many of the remaining ones are ejected.
    fn restore_ejected(&mut self, now: Millis, key: EndpointKey, actions: &mut Vec<Action>) {
        loop {
            let Some(endpoint) = self.endpoints.get_mut(key) else {
                return;
            };
            if endpoint.ejected.len() <= endpoint.max_ejected() {
                return;
            }
            let Some(replica) = endpoint.ejected.shift_remove_index(0) else {
                return;
            };
            self.probe(now, replica, actions);
        }
    }

    /// Refuses requests that were never dispatched and have no acceptable replica left.
    fn refuse_unservable(&mut self, key: EndpointKey, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let unservable: Vec<CallKey> = endpoint
            .queue
            .calls()
            .into_iter()
            .filter(|key| {
                self.calls
                    .get(key)
                    .is_some_and(|call| call.attempts == 0 && !self.has_live(&call.arrival))
            })
            .collect();
        for key in unservable {
            self.refuse_waiting(key, Reason::NoReplica, actions);
        }
    }

    pub(super) fn report(&mut self, now: Millis, key: ReplicaKey, report: Report, actions: &mut Vec<Action>) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.load.update(now, report, replica.in_flight);
        let endpoint = replica.placement.endpoint;
        self.dispatch_queued(now, endpoint, actions);
    }

    pub(super) fn prefix_cached(&mut self, replica: ReplicaKey, prefix: Prefix) {
        let Some(placement) = self.replicas.get(replica).map(|replica| replica.placement) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(placement.endpoint) {
            endpoint.prefixes.insert(prefix, replica);
        }
    }

    pub(super) fn prefix_evicted(&mut self, replica: ReplicaKey, prefix: Prefix) {
        let Some(placement) = self.replicas.get(replica).map(|replica| replica.placement) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(placement.endpoint) {
            endpoint.prefixes.remove(prefix, replica);
        }
    }
}
