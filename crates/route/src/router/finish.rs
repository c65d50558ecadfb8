//! Ends of dispatches: answers, retries and refusals.

use base::Millis;
use rand::RngExt;

use super::Router;
use super::call::{Call, State};
use super::flight::Flight;
use crate::action::Action;
use crate::event::Finish;
use crate::failure::{Failure, Kind};
use crate::key::{CallKey, DispatchId, EndpointKey, ReplicaKey, WorkspaceKey};
use crate::refusal::Reason;
use crate::replica::Phase;
use crate::retry::Cause;

/// Longest backoff before the second dispatch; it doubles with each one.
const BACKOFF_FIRST: Millis = Millis(20);
/// Longest backoff of all.
const BACKOFF_MOST: Millis = Millis(1_000);
/// Most dispatches of one request, those to lost replicas included.
const MOST_DISPATCHES: u8 = 16;
/// Time that a cut stream has to go on elsewhere.
const RESUME_TIME: Millis = Millis(10_000);

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

    /// Answers, retries or refuses the request whose dispatch ended.
    fn end_attempt(
        &mut self,
        now: Millis,
        key: CallKey,
        dispatch: DispatchId,
        flight: &Flight,
        finish: Finish,
        actions: &mut Vec<Action>,
    ) {
        if finish == Finish::Whole {
            self.set_timer(key, None);
            self.calls.swap_remove(&key);
            actions.push(Action::Answered { call: key, dispatch });
            return;
        }
        let lost = self.is_lost(flight.replica);
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let expired = matches!(call.state, State::Expired(_));
        note(call, flight, finish, lost);
        let call = *call;
        if expired {
            return self.refuse(key, Reason::DeadlineUnmet, actions);
        }
        if let Some(reason) = self.bars_retry(&call, lost) {
            return self.refuse(key, reason, actions);
        }
        self.retry(now, key, &call, finish, lost, actions);
    }

    /// Whether the replica is leaving or gone.
    fn is_lost(&self, key: ReplicaKey) -> bool {
        self.replicas
            .get(key)
            .is_none_or(|replica| replica.phase > Phase::Live)
    }

    /// Why the request may not be sent again.
    fn bars_retry(&self, call: &Call, lost: bool) -> Option<Reason> {
        if call.may_have_run && !call.arrival.idempotent {
            return Some(Reason::MayHaveRun);
        }
        let Some(endpoint) = self.endpoints.get(call.arrival.endpoint) else {
            return Some(Reason::NoEndpoint);
        };
        let Some(workspace) = self.workspaces.get(call.arrival.workspace) else {
            return Some(Reason::NoWorkspace);
        };
        let counted = call.attempts - call.losses;
        if counted >= endpoint.settings.max_attempts || call.attempts >= MOST_DISPATCHES {
            return Some(Reason::Attempts);
        }
        // A lost replica's requests are bounded by its slots, so they can't grow into a storm.
        if lost {
            return None;
        }
        let has_budget = endpoint.budget.has_retry() && workspace.budget.has_retry();
        (!has_budget).then_some(Reason::RetryBudget)
    }

    fn retry(
        &mut self,
        now: Millis,
        key: CallKey,
        call: &Call,
        finish: Finish,
        lost: bool,
        actions: &mut Vec<Action>,
    ) {
        let resumes = matches!(finish, Finish::Cut { tokens } if tokens > 0);
        let deadline = if resumes {
            call.deadline.max(now + RESUME_TIME)
        } else {
            call.deadline
        };
        let wait = if lost {
            Millis::ZERO
        } else {
            self.backoff(call, finish)
        };
        if now + wait >= deadline {
            return self.refuse(key, Reason::DeadlineUnmet, actions);
        }
        if !lost {
            self.spend(call);
        }
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.deadline = deadline;
        call.cause = Some(cause(call, finish, lost, resumes));
        if wait == Millis::ZERO {
            return self.enqueue(now, key, actions);
        }
        call.state = State::Backoff;
        self.set_timer(key, Some(now + wait));
    }

    fn spend(&mut self, call: &Call) {
        if let Some(endpoint) = self.endpoints.get_mut(call.arrival.endpoint) {
            endpoint.budget.spend();
        }
        if let Some(workspace) = self.workspaces.get_mut(call.arrival.workspace) {
            workspace.budget.spend();
        }
    }

    /// A random wait up to a bound that doubles with each attempt, but not below the replica's wish.
    fn backoff(&mut self, call: &Call, finish: Finish) -> Millis {
        let doublings = u32::from(call.attempts.saturating_sub(1)).min(8);
        let bound = Millis(BACKOFF_FIRST.0 << doublings).min(BACKOFF_MOST);
        let random = Millis(self.generator.random_range(1..=bound.0));
        match finish {
            Finish::Failed(failure) => random.max(failure.retry_after.unwrap_or_default()),
            Finish::Whole | Finish::Cut { .. } => random,
        }
    }

    /// The backoff is over.
    pub(super) fn retry_now(&mut self, now: Millis, key: CallKey, actions: &mut Vec<Action>) {
        self.enqueue(now, key, actions);
    }
}

/// Notes on the request what its dispatch's end says.
fn note(call: &mut Call, flight: &Flight, finish: Finish, lost: bool) {
    call.avoid = Some(flight.replica);
    call.losses += u8::from(lost);
    if speaks_against_version(finish) && call.arrival.fallback.is_some() {
        // The next attempt meets the same version again only if no replica of the other one is free.
        std::mem::swap(&mut call.arrival.version, &mut call.arrival.fallback);
    }
    match finish {
        Finish::Whole => {}
        Finish::Failed(failure) => call.may_have_run |= may_have_run(flight, failure),
        Finish::Cut { tokens } => {
            call.may_have_run = true;
            call.delivered += tokens;
        }
    }
}

/// Whether the end may be the version's fault, and not that of the VM or its load.
const fn speaks_against_version(finish: Finish) -> bool {
    match finish {
        Finish::Whole => false,
        Finish::Cut { .. } => true,
        Finish::Failed(failure) => match failure.kind {
            Kind::Reset | Kind::Timeout | Kind::Status | Kind::Mismatch => true,
            Kind::Refused | Kind::Connect | Kind::Rejected | Kind::Cancelled => false,
        },
    }
}

/// Once a byte may have left, only the replica's own word says that the request did not run.
fn may_have_run(flight: &Flight, failure: Failure) -> bool {
    failure.may_have_run || (flight.sent && failure.kind != Kind::Rejected)
}

fn cause(call: &Call, finish: Finish, lost: bool, resumes: bool) -> Cause {
    if resumes {
        return Cause::Resume;
    }
    if call.may_have_run {
        return Cause::Idempotent;
    }
    if lost {
        return Cause::ReplicaLost;
    }
    match finish {
        Finish::Failed(Failure {
            kind: Kind::Rejected, ..
        }) => Cause::Rejected,
        Finish::Failed(_) | Finish::Cut { .. } | Finish::Whole => Cause::NotRun,
    }
}
