//! Arriving requests: dispatch, queueing or immediate refusal.

use base::Millis;
use rand::RngExt;

use super::Router;
use super::call::{Call, State};
use crate::action::Action;
use crate::arrival::{Arrival, Priority};
use crate::key::CallKey;
use crate::refusal::{Reason, Refusal};

/// Minimum `retry_after` of a refusal.
const RETRY_AFTER_MIN: Millis = Millis(200);
/// `retry_after` when the endpoint has no replica.
const RETRY_AFTER_NO_REPLICA: Millis = Millis(2_000);
/// `retry_after` when the retry budget or the attempts are exhausted.
const RETRY_AFTER_BUDGET: Millis = Millis(1_000);

/// Maximum time to the first token of interactive and normal requests, in percent of the latency target.
const MAX_FIRST_TOKEN_PERCENT: u64 = 200;

impl Router {
    /// Handles a new request.
    ///
    /// An arrival with the key of a request that has not ended is a bug in the node and is ignored.
    pub(super) fn arrive(&mut self, now: Millis, arrival: Arrival, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&arrival.call) {
            return;
        }
        self.arrival_count += 1;
        let call = Call::new(arrival, self.arrival_count);
        if let Some(reason) = self.refusal_before_dispatch(now, &arrival) {
            let refusal = self.refusal(&call, reason);
            actions.push(Action::Refuse {
                call: arrival.call,
                refusal,
            });
            return;
        }
        self.calls.insert(arrival.call, call);
        if self.try_dispatch(now, arrival.call, actions) {
            return;
        }
        if let Some(reason) = self.refusal_before_queueing(now, &arrival) {
            self.refuse(arrival.call, reason, actions);
            return;
        }
        self.enqueue(now, arrival.call, actions);
    }

    /// Returns why the request cannot be served, regardless of the load.
    fn refusal_before_dispatch(&self, now: Millis, arrival: &Arrival) -> Option<Reason> {
        if !self.endpoints.contains_key(arrival.endpoint) {
            return Some(Reason::NoEndpoint);
        }
        let Some(workspace) = self.workspaces.get(arrival.workspace) else {
            return Some(Reason::NoWorkspace);
        };
        // The request was taken over from another node, where it ran partially.
        if arrival.delivered > 0 && !arrival.idempotent {
            return Some(Reason::MayHaveRun);
        }
        if arrival.deadline <= now {
            return Some(Reason::DeadlineUnmet);
        }
        if workspace.settings.share == 0 {
            return Some(Reason::WorkspaceLimit);
        }
        (!self.has_live(arrival)).then_some(Reason::NoReplica)
    }

    /// Whether any replica with an acceptable version accepts new requests.
    pub(super) fn has_live(&self, arrival: &Arrival) -> bool {
        let Some(endpoint) = self.endpoints.get(arrival.endpoint) else {
            return false;
        };
        if endpoint.pools.live_in(arrival.version) > 0 {
            return true;
        }
        arrival.fallback.is_some() && endpoint.pools.live_in(arrival.fallback) > 0
    }

    /// Returns why the request cannot be queued.
    fn refusal_before_queueing(&self, now: Millis, arrival: &Arrival) -> Option<Reason> {
        let endpoint = self.endpoints.get(arrival.endpoint)?;
        let workspace = self.workspaces.get(arrival.workspace)?;
        let own_queued = endpoint.queue.len_of(arrival.workspace);
        let free_entries = (endpoint.settings.max_queue as usize).saturating_sub(endpoint.queue.len());
        // A workspace may queue no more requests than there are free entries, so that a burst leaves room for others.
        if own_queued >= free_entries {
            return Some(Reason::Overloaded);
        }
        let first_token = endpoint.latency.first_token();
        let remaining = first_token_deadline(now, arrival, endpoint.settings.latency_target) - now;
        let own_wait = endpoint
            .latency
            .queueing_delay((own_queued + 1) as f64, workspace.settings.share);
        if !workspace.is_below_share() && own_wait + first_token > remaining {
            return Some(Reason::WorkspaceLimit);
        }
        let position = endpoint
            .queue
            .expected_position(arrival.workspace, workspace.settings.weight);
        if endpoint.latency.queueing_delay(position, endpoint.in_flight) + first_token > remaining {
            return Some(Reason::DeadlineUnmet);
        }
        None
    }

    /// Queues a request until its deadline can no longer be met.
    pub(super) fn enqueue(&mut self, now: Millis, key: CallKey, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let arrival = call.arrival;
        let Some(endpoint) = self.endpoints.get_mut(arrival.endpoint) else {
            return self.refuse(key, Reason::NoEndpoint, actions);
        };
        let Some(workspace) = self.workspaces.get(arrival.workspace) else {
            return self.refuse(key, Reason::NoWorkspace, actions);
        };
        call.state = State::Waiting;
        let deadline = if call.attempts == 0 {
            first_token_deadline(now, &arrival, endpoint.settings.latency_target)
        } else {
            call.deadline
        };
        let first_token = endpoint.latency.first_token().min(Millis((deadline - now).0 / 2));
        let expires_at = deadline - first_token;
        let prefix = arrival.prefix.filter(|_| endpoint.settings.affinity);
        call.affinity_replica = prefix
            .and_then(|prefix| endpoint.prefixes.get(prefix))
            .map(|location| location.replica);
        let weight = workspace.settings.weight;
        endpoint
            .queue
            .push(arrival.workspace, weight, call.constraints(), call.entry());
        self.set_timer(key, Some(expires_at));
        self.dispatch_queued(now, arrival.endpoint, actions);
    }

    /// Removes a request from its queue and refuses it.
    pub(super) fn refuse_waiting(&mut self, key: CallKey, reason: Reason, actions: &mut Vec<Action>) {
        self.dequeue(key);
        self.refuse(key, reason, actions);
    }

    /// Removes a request from its queue.
    pub(super) fn dequeue(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(call.arrival.endpoint) {
            endpoint
                .queue
                .remove(call.arrival.workspace, call.constraints(), call.entry());
        }
    }

    /// Ends a request with a refusal.
    pub(super) fn refuse(&mut self, key: CallKey, reason: Reason, actions: &mut Vec<Action>) {
        self.set_timer(key, None);
        let Some(call) = self.calls.swap_remove(&key) else {
            return;
        };
        let refusal = self.refusal(&call, reason);
        actions.push(Action::Refuse { call: key, refusal });
    }

    fn refusal(&mut self, call: &Call, reason: Reason) -> Refusal {
        Refusal {
            reason,
            outcome: call.outcome(),
            retry_after: self.retry_after(call, reason),
        }
    }

    /// Suggests a delay before a retry, with up to 50% jitter so that callers do not retry at the same time.
    fn retry_after(&mut self, call: &Call, reason: Reason) -> Option<Millis> {
        let delay = match reason {
            Reason::NoEndpoint | Reason::NoWorkspace | Reason::MayHaveRun => return None,
            Reason::NoReplica => RETRY_AFTER_NO_REPLICA,
            Reason::RetryBudget | Reason::AttemptsExhausted => RETRY_AFTER_BUDGET,
            Reason::WorkspaceLimit => self.workspace_drain_time(call),
            Reason::Overloaded | Reason::DeadlineUnmet => self.drain_time(call),
        };
        let delay = delay.max(RETRY_AFTER_MIN);
        Some(delay + Millis(self.generator.random_range(0..=delay.0 / 2)))
    }

    /// Estimates the time until all currently queued requests have been dispatched.
    fn drain_time(&self, call: &Call) -> Millis {
        let Some(endpoint) = self.endpoints.get(call.arrival.endpoint) else {
            return Millis::ZERO;
        };
        endpoint
            .latency
            .queueing_delay(endpoint.queue.len() as f64, endpoint.in_flight)
    }

    /// Estimates the time until the workspace's queued requests have been dispatched within its share.
    fn workspace_drain_time(&self, call: &Call) -> Millis {
        let arrival = &call.arrival;
        let Some(endpoint) = self.endpoints.get(arrival.endpoint) else {
            return Millis::ZERO;
        };
        let share = self
            .workspaces
            .get(arrival.workspace)
            .map_or(0, |workspace| workspace.settings.share);
        let position = endpoint.queue.len_of(arrival.workspace) + 1;
        endpoint.latency.queueing_delay(position as f64, share)
    }
}

/// Returns the latest time for the first token of a request that was never dispatched.
///
/// A queue longer than the latency target would delay all requests, so only batch requests may wait until their
/// deadline.
fn first_token_deadline(now: Millis, arrival: &Arrival, target: Millis) -> Millis {
    match arrival.priority {
        Priority::Interactive | Priority::Normal => arrival
            .deadline
            .min(now + Millis(target.0 * MAX_FIRST_TOKEN_PERCENT / 100)),
        Priority::Batch => arrival.deadline,
    }
}
