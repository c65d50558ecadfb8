//! Dispatches: from the queues to replicas.

use base::Millis;

use super::Router;
use super::call::State;
use super::flight::Flight;
use crate::action::{Action, Dispatch};
use crate::key::{CallKey, DispatchId, EndpointKey, ReplicaKey, WorkspaceKey};
use crate::workspace::Workspace;

/// Most flows passed over in one go because no replica suits their first request.
const LOOKAHEAD: usize = 8;

impl Router {
    /// Dispatches a new request if nothing waits before it; whether it did.
    pub(super) fn dispatch_at_once(&mut self, now: Millis, key: CallKey, actions: &mut Vec<Action>) -> bool {
        let Some(call) = self.calls.get(&key) else {
            return false;
        };
        let arrival = call.arrival;
        let waits = self.queued(arrival.endpoint) > 0;
        let has_share = self
            .workspaces
            .get(arrival.workspace)
            .is_some_and(Workspace::has_share);
        if waits || !has_share {
            return false;
        }
        let Some(replica) = self.choose(now, key) else {
            return false;
        };
        self.dispatch(now, key, replica, actions);
        true
    }

    /// Dispatches waiting requests as long as there are slots for them.
    pub(super) fn pump(&mut self, now: Millis, endpoint: EndpointKey, actions: &mut Vec<Action>) {
        while self.pump_one(now, endpoint, actions) {}
    }

    /// Dispatches the first request that can go; whether there was one.
    fn pump_one(&mut self, now: Millis, key: EndpointKey, actions: &mut Vec<Action>) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        if endpoint.queue.len() == 0 || !endpoint.pools.has_free() {
            return false;
        }
        let turns: Vec<WorkspaceKey> = endpoint
            .queue
            .turns_ahead()
            .take(LOOKAHEAD)
            .map(|turn| turn.workspace)
            .collect();
        for workspace in turns {
            if !self.has_turn(key, workspace) {
                // The flow made room among the first ones; look again.
                return true;
            }
            if self.dispatch_head(now, key, workspace, actions) {
                return true;
            }
        }
        false
    }

    /// Whether the workspace may have a turn; if it is at its share, its flow is parked.
    fn has_turn(&mut self, endpoint: EndpointKey, key: WorkspaceKey) -> bool {
        let Some(workspace) = self.workspaces.get_mut(key) else {
            return true;
        };
        if workspace.has_share() {
            return true;
        }
        workspace.parked.insert(endpoint);
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.queue.park(key);
        }
        false
    }

    /// Dispatches the flow's first request that a replica suits; whether there was one.
    fn dispatch_head(
        &mut self,
        now: Millis,
        endpoint: EndpointKey,
        workspace: WorkspaceKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get(endpoint) else {
            return false;
        };
        for head in endpoint.queue.heads(workspace) {
            if let Some(replica) = self.choose(now, head.call) {
                self.unqueue(head.call);
                self.dispatch(now, head.call, replica, actions);
                return true;
            }
        }
        false
    }

    /// Sends a request, which is in no queue, to a replica.
    fn dispatch(&mut self, now: Millis, key: CallKey, to: ReplicaKey, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        self.dispatches += 1;
        let id = DispatchId(self.dispatches);
        call.state = State::Flying(id);
        call.attempts += 1;
        let call = *call;
        let arrival = call.arrival;
        self.flights.insert(
            id,
            Flight {
                call: Some(key),
                endpoint: arrival.endpoint,
                workspace: arrival.workspace,
                replica: to,
                prefix: arrival.prefix,
                started_at: now,
                first_at: None,
                sent: false,
                cancelled: false,
            },
        );
        self.set_timer(key, Some(call.deadline));
        self.take_slot(&call, to);
        actions.push(Action::Dispatch(Dispatch {
            call: key,
            id,
            replica: to,
            attempt: call.attempts,
            delivered: call.delivered,
            cause: call.cause,
        }));
    }

    fn take_slot(&mut self, call: &super::call::Call, to: ReplicaKey) {
        let arrival = &call.arrival;
        let first = call.attempts == 1;
        if let Some(workspace) = self.workspaces.get_mut(arrival.workspace) {
            workspace.in_flight += 1;
            if first {
                workspace.budget.earn(workspace.settings.retry_percent);
            }
        }
        let weight = self.weight(arrival.workspace);
        if let Some(endpoint) = self.endpoints.get_mut(arrival.endpoint) {
            endpoint.in_flight += 1;
            endpoint.queue.charge(arrival.workspace, weight);
            if first {
                endpoint.budget.earn(endpoint.settings.retry_percent);
            }
            if let Some(prefix) = arrival.prefix
                && endpoint.settings.affinity
            {
                endpoint.table.begin(prefix, to);
            }
        }
        if let Some(replica) = self.replicas.get_mut(to) {
            replica.in_flight += 1;
        }
        self.refresh(to);
    }

    /// The workspace's weight; one if it is gone.
    fn weight(&self, workspace: WorkspaceKey) -> u32 {
        self.workspaces
            .get(workspace)
            .map_or(1, |workspace| workspace.settings.weight)
    }

    /// Puts the replica in or takes it out of the lists of free ones.
    pub(super) fn refresh(&mut self, key: ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let free = replica.is_free();
        if replica.pooled == free {
            return;
        }
        replica.pooled = free;
        if let Some(endpoint) = self.endpoints.get_mut(replica.place.endpoint) {
            endpoint.pools.set_free(key, replica.place, free);
        }
    }

    /// Tells the node to give a dispatch up, once.
    pub(super) fn cancel_dispatch(&mut self, dispatch: DispatchId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&dispatch) else {
            return;
        };
        if flight.cancelled {
            return;
        }
        flight.cancelled = true;
        actions.push(Action::Cancel { dispatch });
    }
}
