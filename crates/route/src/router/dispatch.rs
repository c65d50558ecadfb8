//! Dispatch of requests to replicas.

use base::Millis;

use super::Router;
use super::attempt::Attempt;
use super::call::State;
use crate::action::{Action, Dispatch};
use crate::key::{CallKey, DispatchId, EndpointKey, ReplicaKey, WorkspaceKey};
use crate::workspace::Workspace;

/// Maximum number of flows tried in one pass when no replica is available for their first requests.
const MAX_FLOWS_TRIED: usize = 8;

impl Router {
    /// Dispatches a new request if no other is queued before it; returns whether it did.
    pub(super) fn try_dispatch(&mut self, now: Millis, key: CallKey, actions: &mut Vec<Action>) -> bool {
        let Some(call) = self.calls.get(&key) else {
            return false;
        };
        let arrival = call.arrival;
        let has_queued = self.queued(arrival.endpoint) > 0;
        let is_below_share = self
            .workspaces
            .get(arrival.workspace)
            .is_some_and(Workspace::is_below_share);
        if has_queued || !is_below_share {
            return false;
        }
        let Some(replica) = self.select(now, key) else {
            return false;
        };
        self.dispatch(now, key, replica, actions);
        true
    }

    /// Dispatches queued requests while there are free slots.
    pub(super) fn dispatch_queued(&mut self, now: Millis, endpoint: EndpointKey, actions: &mut Vec<Action>) {
        while self.dispatch_next(now, endpoint, actions) {}
    }

    /// Dispatches the next possible request or parks a flow; returns false when there is nothing to do.
    fn dispatch_next(&mut self, now: Millis, key: EndpointKey, actions: &mut Vec<Action>) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        if endpoint.queue.len() == 0 || !endpoint.pools.has_free() {
            return false;
        }
        let workspaces: Vec<WorkspaceKey> = endpoint
            .queue
            .ready_flows()
            .take(MAX_FLOWS_TRIED)
            .map(|flow| flow.workspace)
            .collect();
        for workspace in workspaces {
            if !self.may_dispatch_or_park(key, workspace) {
                // The parked flow is no longer among the first ones, so try the next ones.
                return true;
            }
            if self.dispatch_first_eligible(now, key, workspace, actions) {
                return true;
            }
        }
        false
    }

    /// Whether the workspace is below its share; otherwise parks its flow.
    fn may_dispatch_or_park(&mut self, endpoint: EndpointKey, key: WorkspaceKey) -> bool {
        let Some(workspace) = self.workspaces.get_mut(key) else {
            return true;
        };
        if workspace.is_below_share() {
            return true;
        }
        workspace.parked.insert(endpoint);
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.queue.park(key);
        }
        false
    }

    /// Dispatches the first request of the flow that has an available replica; returns whether there was one.
    fn dispatch_first_eligible(
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
            if let Some(replica) = self.select(now, head.call) {
                self.dequeue(head.call);
                self.dispatch(now, head.call, replica, actions);
                return true;
            }
        }
        false
    }

    /// Dispatches a request, which must not be queued, to a replica.
    fn dispatch(&mut self, now: Millis, key: CallKey, to: ReplicaKey, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        self.dispatch_count += 1;
        let id = DispatchId(self.dispatch_count);
        call.state = State::InFlight(id);
        call.attempts += 1;
        let call = *call;
        let arrival = call.arrival;
        self.attempts.insert(
            id,
            Attempt {
                call: Some(key),
                endpoint: arrival.endpoint,
                workspace: arrival.workspace,
                replica: to,
                prefix: arrival.prefix,
                started_at: now,
                first_token_at: None,
                sent: false,
                cancelled: false,
            },
        );
        self.set_timer(key, Some(call.deadline));
        self.acquire_slot(&call, to);
        actions.push(Action::Dispatch(Dispatch {
            call: key,
            id,
            replica: to,
            attempt: call.attempts,
            delivered: call.delivered,
            cause: call.cause,
        }));
    }

    fn acquire_slot(&mut self, call: &super::call::Call, to: ReplicaKey) {
        let arrival = &call.arrival;
        let is_first = call.attempts == 1;
        if let Some(workspace) = self.workspaces.get_mut(arrival.workspace) {
            workspace.in_flight += 1;
            if is_first {
                workspace.budget.deposit(workspace.settings.retry_percent);
            }
        }
        let weight = self.weight(arrival.workspace);
        if let Some(endpoint) = self.endpoints.get_mut(arrival.endpoint) {
            endpoint.in_flight += 1;
            endpoint.queue.charge(arrival.workspace, weight);
            if is_first {
                endpoint.budget.deposit(endpoint.settings.retry_percent);
            }
            if let Some(prefix) = arrival.prefix
                && endpoint.settings.affinity
            {
                endpoint.prefixes.record_dispatch(prefix, to);
            }
        }
        if let Some(replica) = self.replicas.get_mut(to) {
            replica.in_flight += 1;
        }
        self.update_free_pool(to);
    }

    /// Returns the weight of the workspace; one if it was removed.
    fn weight(&self, workspace: WorkspaceKey) -> u32 {
        self.workspaces
            .get(workspace)
            .map_or(1, |workspace| workspace.settings.weight)
    }

    /// Adds the replica to the lists of free replicas or removes it, according to its free slots.
    pub(super) fn update_free_pool(&mut self, key: ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let has_free_slot = replica.has_free_slot();
        if replica.in_free_pool == has_free_slot {
            return;
        }
        replica.in_free_pool = has_free_slot;
        if let Some(endpoint) = self.endpoints.get_mut(replica.placement.endpoint) {
            endpoint.pools.set_free(key, replica.placement, has_free_slot);
        }
    }

    /// Tells the node to abort a dispatch, unless it was told before.
    pub(super) fn cancel_dispatch(&mut self, dispatch: DispatchId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(&dispatch) else {
            return;
        };
        if attempt.cancelled {
            return;
        }
        attempt.cancelled = true;
        actions.push(Action::Cancel { dispatch });
    }
}
