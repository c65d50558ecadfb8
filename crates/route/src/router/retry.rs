//! Retry or refusal after a dispatch without a complete response.

use base::Millis;
use rand::RngExt;

use super::Router;
use super::attempt::Attempt;
use super::call::{Call, State};
use crate::action::Action;
use crate::event::Finish;
use crate::failure::{Failure, Kind};
use crate::key::{CallKey, DispatchId, ReplicaKey};
use crate::refusal::Reason;
use crate::replica::Phase;
use crate::retry::Cause;

/// Maximum backoff before the second dispatch; it doubles with each dispatch.
const BASE_BACKOFF: Millis = Millis(20);
/// Maximum backoff of any retry.
const MAX_BACKOFF: Millis = Millis(1_000);
/// Maximum number of dispatches of one request, including those to lost replicas.
const MAX_DISPATCHES: u8 = 16;
/// Time for an interrupted stream to resume on another replica.
const RESUME_TIMEOUT: Millis = Millis(10_000);

impl Router {
    /// Completes, retries or refuses the request whose dispatch ended.
    pub(super) fn end_attempt(
        &mut self,
        now: Millis,
        key: CallKey,
        dispatch: DispatchId,
        attempt: &Attempt,
        finish: Finish,
        actions: &mut Vec<Action>,
    ) {
        if finish == Finish::Complete {
            self.set_timer(key, None);
            self.calls.swap_remove(&key);
            actions.push(Action::Complete { call: key, dispatch });
            return;
        }
        let lost = self.is_lost(attempt.replica);
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let expired = matches!(call.state, State::Expired(_));
        record_failed_attempt(call, attempt, finish, lost);
        let call = *call;
        if expired {
            return self.refuse(key, Reason::DeadlineUnmet, actions);
        }
        if let Some(reason) = self.retry_refusal(&call, lost) {
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

    /// Returns why the request must not be retried.
    fn retry_refusal(&self, call: &Call, lost: bool) -> Option<Reason> {
        if call.may_have_run && !call.arrival.idempotent {
            return Some(Reason::MayHaveRun);
        }
        let Some(endpoint) = self.endpoints.get(call.arrival.endpoint) else {
            return Some(Reason::NoEndpoint);
        };
        let Some(workspace) = self.workspaces.get(call.arrival.workspace) else {
            return Some(Reason::NoWorkspace);
        };
        let counted_attempts = call.attempts - call.lost_attempts;
        if counted_attempts >= endpoint.settings.max_attempts || call.attempts >= MAX_DISPATCHES {
            return Some(Reason::AttemptsExhausted);
        }
        // Retries after the loss of a replica are bounded by its slots, so they cannot cause a retry storm.
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
        let resumes = matches!(finish, Finish::Interrupted { tokens } if tokens > 0);
        let deadline = if resumes {
            call.deadline.max(now + RESUME_TIMEOUT)
        } else {
            call.deadline
        };
        let delay = if lost {
            Millis::ZERO
        } else {
            self.backoff(call, finish)
        };
        if now + delay >= deadline {
            return self.refuse(key, Reason::DeadlineUnmet, actions);
        }
        if !lost {
            self.withdraw_retry(call);
        }
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.deadline = deadline;
        call.cause = Some(cause(call, finish, lost, resumes));
        if delay == Millis::ZERO {
            return self.enqueue(now, key, actions);
        }
        call.state = State::Backoff;
        self.set_timer(key, Some(now + delay));
    }

    fn withdraw_retry(&mut self, call: &Call) {
        if let Some(endpoint) = self.endpoints.get_mut(call.arrival.endpoint) {
            endpoint.budget.withdraw();
        }
        if let Some(workspace) = self.workspaces.get_mut(call.arrival.workspace) {
            workspace.budget.withdraw();
        }
    }

    /// Returns a random delay up to a bound that doubles with each attempt, but at least what the replica asked for.
    fn backoff(&mut self, call: &Call, finish: Finish) -> Millis {
        let doublings = u32::from(call.attempts.saturating_sub(1)).min(8);
        let bound = Millis(BASE_BACKOFF.0 << doublings).min(MAX_BACKOFF);
        let jittered = Millis(self.generator.random_range(1..=bound.0));
        match finish {
            Finish::Failed(failure) => jittered.max(failure.retry_after.unwrap_or_default()),
            Finish::Complete | Finish::Interrupted { .. } => jittered,
        }
    }

    /// Queues a request whose backoff has ended.
    pub(super) fn on_backoff_end(&mut self, now: Millis, key: CallKey, actions: &mut Vec<Action>) {
        self.enqueue(now, key, actions);
    }
}

/// Updates a request after a dispatch ended without a complete response.
fn record_failed_attempt(call: &mut Call, attempt: &Attempt, finish: Finish, lost: bool) {
    call.avoid = Some(attempt.replica);
    call.lost_attempts += u8::from(lost);
    if may_be_version_fault(finish) && call.arrival.fallback.is_some() {
        // Swap the versions, so that the next attempt uses the same one only if no replica of the other is free.
        std::mem::swap(&mut call.arrival.version, &mut call.arrival.fallback);
    }
    match finish {
        Finish::Complete => {}
        Finish::Failed(failure) => call.may_have_run |= may_have_run(attempt, failure),
        Finish::Interrupted { tokens } => {
            call.may_have_run = true;
            call.delivered += tokens;
        }
    }
}

/// Whether the version may have caused the failure, rather than the VM or its load.
const fn may_be_version_fault(finish: Finish) -> bool {
    match finish {
        Finish::Complete => false,
        Finish::Interrupted { .. } => true,
        Finish::Failed(failure) => match failure.kind {
            Kind::Reset | Kind::Timeout | Kind::ServerError | Kind::Mismatch => true,
            Kind::Refused | Kind::Connect | Kind::Rejected | Kind::Cancelled => false,
        },
    }
}

/// Once a byte may have been sent, only a rejection by the replica proves that the request did not run.
fn may_have_run(attempt: &Attempt, failure: Failure) -> bool {
    failure.may_have_run || (attempt.sent && failure.kind != Kind::Rejected)
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
        Finish::Failed(_) | Finish::Interrupted { .. } | Finish::Complete => Cause::NotRun,
    }
}
