//! What follows a dispatch without an answer: another one, or a refusal.

use base::Millis;
use rand::RngExt;

use super::Router;
use super::call::{Call, State};
use super::flight::Flight;
use crate::action::Action;
use crate::event::Finish;
use crate::failure::{Failure, Kind};
use crate::key::{CallKey, DispatchId, ReplicaKey};
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
    /// Answers, retries or refuses the request whose dispatch ended.
    pub(super) fn end_attempt(
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
