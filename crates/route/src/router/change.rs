//! Changes of endpoints, workspaces and replicas.

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
    /// The caller is gone: its request ends without a word.
    pub(super) fn cancel(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.set_timer(key, None);
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        match call.state {
            State::Waiting => self.unqueue(key),
            State::Backoff => {}
            State::Flying(dispatch) | State::Expired(dispatch) => {
                self.cancel_dispatch(dispatch, actions);
                if let Some(flight) = self.flights.get_mut(&dispatch) {
                    flight.call = None;
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
        self.pump(now, key, actions);
    }

    pub(super) fn remove_endpoint(&mut self, now: Millis, key: EndpointKey, actions: &mut Vec<Action>) {
        if self.endpoints.remove(key).is_none() {
            return;
        }
        for replica in self.replicas_of(key) {
            self.leave(now, replica, Phase::Gone, actions);
        }
        for workspace in self.workspaces.values_mut() {
            workspace.parked.swap_remove(&key);
        }
        self.refuse_idle(Reason::NoEndpoint, actions, |arrival| arrival.endpoint == key);
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
        self.pump_parked(now, key, actions);
    }

    pub(super) fn remove_workspace(&mut self, now: Millis, key: WorkspaceKey, actions: &mut Vec<Action>) {
        if self.workspaces.remove(key).is_none() {
            return;
        }
        self.refuse_idle(Reason::NoWorkspace, actions, |arrival| arrival.workspace == key);
        let endpoints: Vec<EndpointKey> = self.endpoints.keys().collect();
        for endpoint in endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                endpoint.queue.forget(key);
            }
            self.pump(now, endpoint, actions);
        }
    }

    /// Refuses every request that waits and meets the condition.
    fn refuse_idle<F>(&mut self, reason: Reason, actions: &mut Vec<Action>, meets: F)
    where
        F: Fn(&crate::arrival::Arrival) -> bool,
    {
        let idle: Vec<CallKey> = self
            .calls
            .iter()
            .filter(|(_, call)| matches!(call.state, State::Waiting | State::Backoff))
            .filter(|(_, call)| meets(&call.arrival))
            .map(|(key, _)| *key)
            .collect();
        for key in idle {
            self.refuse_waiting(key, reason, actions);
        }
    }

    fn replicas_of(&self, endpoint: EndpointKey) -> Vec<ReplicaKey> {
        let replicas = self.replicas.iter();
        replicas
            .filter(|(_, replica)| replica.place.endpoint == endpoint)
            .map(|(key, _)| key)
            .collect()
    }

    /// Moves a replica towards its end; it gets no new work from here on.
    pub(super) fn leave(&mut self, now: Millis, key: ReplicaKey, phase: Phase, actions: &mut Vec<Action>) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let was_live = replica.phase == Phase::Live;
        replica.phase = replica.phase.max(phase);
        let place = replica.place;
        let ended = replica.phase == Phase::Gone && replica.in_flight == 0;
        self.refresh(key);
        if ended {
            self.replicas.remove(key);
        }
        if !was_live {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(place.endpoint) else {
            return;
        };
        endpoint.pools.remove(place);
        endpoint.ejected.swap_remove(&key);
        self.restore_ejected(now, place.endpoint, actions);
        self.refuse_stranded(place.endpoint, actions);
    }

    /// Probes ejected replicas early when too great a part of what is left is ejected.
    fn restore_ejected(&mut self, now: Millis, key: EndpointKey, actions: &mut Vec<Action>) {
        loop {
            let Some(endpoint) = self.endpoints.get_mut(key) else {
                return;
            };
            if endpoint.ejected.len() <= endpoint.most_ejected() {
                return;
            }
            let Some(replica) = endpoint.ejected.shift_remove_index(0) else {
                return;
            };
            self.probe(now, replica, actions);
        }
    }

    /// Refuses requests that were never sent and have no replica left that they accept.
    fn refuse_stranded(&mut self, key: EndpointKey, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let stranded: Vec<CallKey> = endpoint
            .queue
            .calls()
            .into_iter()
            .filter(|key| {
                self.calls
                    .get(key)
                    .is_some_and(|call| call.attempts == 0 && !self.has_live(&call.arrival))
            })
            .collect();
        for key in stranded {
            self.refuse_waiting(key, Reason::NoReplica, actions);
        }
    }

    pub(super) fn report(&mut self, now: Millis, key: ReplicaKey, report: Report, actions: &mut Vec<Action>) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.load.take(now, report, replica.in_flight);
        let endpoint = replica.place.endpoint;
        self.pump(now, endpoint, actions);
    }

    pub(super) fn prefix_cached(&mut self, replica: ReplicaKey, prefix: Prefix) {
        let Some(place) = self.replicas.get(replica).map(|replica| replica.place) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(place.endpoint) {
            endpoint.table.insert(prefix, replica);
        }
    }

    pub(super) fn prefix_evicted(&mut self, replica: ReplicaKey, prefix: Prefix) {
        let Some(place) = self.replicas.get(replica).map(|replica| replica.place) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(place.endpoint) {
            endpoint.table.remove(prefix, replica);
        }
    }
}
