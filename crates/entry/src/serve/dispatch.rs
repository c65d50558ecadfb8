//! Sends a request to replicas until one responds or no further attempt is allowed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base::Millis;
use http::Response;
use place::{Attempts, Denial, DispatchError, Execution, Refusal, ReplicaKey};

use super::attempt::{AttemptError, Failure};
use super::body::Body;
use super::call::Call;
use super::relay::Relay;
use super::sent::Target;
use super::{Reason, buffered, log};
use crate::Shared;
use crate::shared::RequestGuard;

/// Retry-After time when replicas refused the request. It is short, since their queues are.
const REFUSED_RETRY_AFTER: Millis = Millis(250);

/// A request being dispatched.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub shared: Arc<Shared>,
    pub call: Call,
    /// Replicas that the request was sent to.
    pub tried: Vec<ReplicaKey>,
    /// Number of replicas that may have run the request.
    pub possible_runs: u32,
    /// The last replica.
    pub target: Target,
    /// Cause of the last failure.
    pub cause: String,
    /// Time from the request to its first event.
    pub first_event: Option<Millis>,
    /// When the last replica was sent the request, or sent its last event.
    pub last_heard: Millis,
    /// Why the request last stayed at a silent replica.
    pub stays_for: Option<&'static str>,
    /// Whether the request was counted for the retry budget.
    pub is_counted: bool,
    /// Whether the end of the request was logged.
    is_logged: AtomicBool,
    _guard: RequestGuard,
}

impl Dispatch {
    pub fn new(shared: Arc<Shared>, call: Call) -> Self {
        Self {
            _guard: shared.track_request(),
            shared,
            call,
            tried: Vec::new(),
            possible_runs: 0,
            target: Target::default(),
            cause: String::new(),
            first_event: None,
            last_heard: Millis::ZERO,
            stays_for: None,
            is_counted: false,
            is_logged: AtomicBool::new(false),
        }
    }

    /// Dispatches the request and returns the response for the caller.
    pub async fn run(mut self) -> Response<Body> {
        let mut failed: Option<Response<Body>> = None;
        loop {
            let failure = match self.attempt(None).await {
                Ok(reply) if self.call.route().kind.is_stream() && reply.is_signed_success() => {
                    return Relay::open(self, reply).await;
                }
                Ok(reply) => match buffered::read(&self, reply).await {
                    Ok(response) => {
                        self.log_end("answered", response.status().as_u16());
                        return response;
                    }
                    Err(failure) => failure,
                },
                Err(AttemptError::Failed(failure)) => failure,
                Err(AttemptError::NoReplica(refusal)) => return self.give_up(failed, Some(refusal)),
            };
            self.cause.clone_from(&failure.cause);
            if failure.timed_out {
                return self.fail(Reason::TimedOut);
            }
            let may_retry = self.record_failure(&failure);
            failed = failure.response.map(|response| *response).or(failed);
            if !may_retry {
                return self.give_up(failed, None);
            }
        }
    }

    /// Records a failure; returns whether another replica may be tried.
    pub fn record_failure(&mut self, failure: &Failure) -> bool {
        let assessment = failure.error.assess(self.call.route().kind.is_idempotent());
        if assessment.execution != Execution::NotRun {
            self.possible_runs += 1;
        }
        let skips_retry_budget = failure.error == DispatchError::NotSent;
        let denial = match self.attempts().denial_after(assessment) {
            None if !skips_retry_budget && !self.shared.try_retry(&self.call.endpoint) => {
                Some(Denial::Budget)
            }
            denial => denial,
        };
        let failed = log::Failed {
            replica: &self.target.replica,
            cause: &failure.cause,
            silent: self.shared.now().since(self.last_heard),
            denial,
        };
        log::dispatch_failed(&self.shared, &self.call, failed);
        denial.is_none()
    }

    /// The dispatches so far.
    pub fn attempts(&self) -> Attempts {
        let route = self.call.route();
        Attempts {
            is_idempotent: route.kind.is_idempotent(),
            dispatches: self.tried.len(),
            possible_runs: self.possible_runs,
            max_runs: route.max_attempts,
            time_left: self.time_left(),
        }
    }

    /// Time until the deadline.
    pub fn time_left(&self) -> Millis {
        self.call.time_left(self.shared.now())
    }

    /// The final response when no further attempt is allowed.
    fn give_up(&self, failed: Option<Response<Body>>, refusal: Option<Refusal>) -> Response<Body> {
        if let Some(failed) = failed {
            self.log_end("failed", failed.status().as_u16());
            return failed;
        }
        if self.possible_runs > 0 {
            return self.fail(Reason::Unknown);
        }
        self.refund_quota();
        self.fail(refusal.map_or(Reason::NotRun(REFUSED_RETRY_AFTER), Reason::NoReplica))
    }

    /// A final response generated by the node.
    pub fn fail(&self, reason: Reason) -> Response<Body> {
        let reason = match reason {
            // Nothing was sent, so the caller can be told that the request did not run.
            Reason::TimedOut if self.possible_runs == 0 && self.tried.is_empty() => {
                Reason::NotRun(REFUSED_RETRY_AFTER)
            }
            other => other,
        };
        metrics::counter!("bilberrylatch_refusals_total", "reason" => reason.label()).increment(1);
        self.log_end(reason.label(), reason.status().as_u16());
        reason.response()
    }

    fn refund_quota(&self) {
        if let Some(workspace) = self.call.workspace() {
            self.shared.refund_quota(workspace, self.call.token_cost());
        }
    }

    pub fn log_end(&self, outcome: &str, status: u16) {
        self.is_logged.store(true, Ordering::Relaxed);
        let end = log::End {
            outcome,
            status,
            target: &self.target,
            attempts: self.tried.len(),
            cause: &self.cause,
            first_event: self.first_event,
        };
        log::ended(&self.shared, &self.call, end);
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        if !self.is_logged.load(Ordering::Relaxed) {
            self.log_end("caller_left", 0);
        }
    }
}
