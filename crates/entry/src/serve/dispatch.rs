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
use super::sent::Sent;
use super::target::Target;
use super::{Reason, buffered, log};
use crate::Shared;
use crate::shared::RequestGuard;

/// Retry-After time when replicas refused the request. It is short, since their queues are.
const REFUSED_RETRY_AFTER: Millis = Millis(250);

/// How a node reaches the replicas of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Links {
    /// From this node.
    Up,
    /// Through other nodes, since this one is cut off.
    Detour,
    /// Not at all, as far as is known: this node is cut off, and no other one reaches them.
    Down,
}

/// A request being dispatched.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub shared: Arc<Shared>,
    pub call: Call,
    /// Replicas that are not to be chosen again.
    pub tried: Vec<ReplicaKey>,
    /// How the endpoint's replicas were reached when one was last chosen.
    pub links: Links,
    /// Number of dispatches so far.
    pub dispatches: usize,
    /// Number of these that found no connection.
    pub unconnected: usize,
    /// Number of nodes that declined to send the request on.
    pub declines: usize,
    /// Number of replicas that may have run the request and will not answer any more.
    pub possible_runs: u32,
    /// Replicas that have the request and have not answered, the last one tried at the end.
    pub sent: Vec<Sent>,
    /// Whether a response is being read.
    pub is_streaming: bool,
    /// Until when two replicas may have a stream.
    pub overlap_ends: Option<Millis>,
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
            links: Links::Up,
            dispatches: 0,
            unconnected: 0,
            declines: 0,
            possible_runs: 0,
            sent: Vec::new(),
            is_streaming: false,
            overlap_ends: None,
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
            let received = if self.sent.is_empty() {
                self.attempt(None).await
            } else {
                self.receive(None).await
            };
            let failure = match received {
                Ok(reply) if self.call.route().kind.is_stream() && reply.is_signed_success() => {
                    self.leave_others();
                    return Relay::open(self, reply).await;
                }
                Ok(reply) => match buffered::read(&mut self, reply).await {
                    Ok(response) => {
                        self.record_duration();
                        self.log_end("answered", response.status().as_u16());
                        return response;
                    }
                    Err(failure) => failure,
                },
                Err(AttemptError::Failed(failure)) => failure,
                Err(AttemptError::NoReplica(refusal)) => return self.give_up(failed, Some(refusal)),
            };
            self.cause.clone_from(&failure.cause);
            if failure.timed_out && failed.is_none() {
                return self.fail(Reason::TimedOut);
            }
            let may_go_on = if self.sent.is_empty() {
                self.record_failure(&failure)
            } else {
                self.record_lost_hedge(&failure);
                true
            };
            failed = failure.response.map(|response| *response).or(failed);
            if !may_go_on {
                return self.give_up(failed, None);
            }
        }
    }

    /// Records a failure after which no replica has the request; returns whether another one may be tried.
    pub fn record_failure(&mut self, failure: &Failure) -> bool {
        self.count_failure(failure);
        let assessment = failure.error.assess(self.call.route().kind.is_idempotent());
        let skips_retry_budget = matches!(failure.error, DispatchError::NotSent | DispatchError::Declined);
        let denial = match self.attempts().denial_after(assessment) {
            None if !self.may_repeat() => Some(Denial::Poison),
            None if !skips_retry_budget && !self.shared.try_retry(&self.call.endpoint) => {
                Some(Denial::Budget)
            }
            denial => denial,
        };
        self.log_failed(failure, denial);
        denial.is_none()
    }

    /// Takes back a dispatch, since another node declined to send it to the replica.
    pub fn record_decline(&mut self, replica: ReplicaKey) {
        self.declines += 1;
        self.dispatches = self.dispatches.saturating_sub(1);
        self.tried.retain(|tried| *tried != replica);
    }

    /// Counts a failed dispatch as one that found no connection, or as a run, unless it surely was none.
    pub fn count_failure(&mut self, failure: &Failure) {
        if failure.error == DispatchError::NotSent {
            self.unconnected += 1;
        }
        let assessment = failure.error.assess(self.call.route().kind.is_idempotent());
        if assessment.execution != Execution::NotRun {
            self.possible_runs += 1;
        }
    }

    /// Logs a failed dispatch, and why the request may not be sent to another replica.
    pub fn log_failed(&self, failure: &Failure, denial: Option<Denial>) {
        let failed = log::Failed {
            target: &self.target,
            cause: &failure.cause,
            silent: self.shared.now().since(self.last_heard),
            denial,
        };
        log::dispatch_failed(&self.shared, &self.call, failed);
    }

    /// Whether another replica may be tried, as far as the request's content is concerned.
    pub fn may_repeat(&self) -> bool {
        self.shared.may_repeat(&self.call.suspects)
    }

    /// Number of replicas that have the request and may still answer.
    pub fn in_flight(&self) -> u32 {
        self.sent.len() as u32 + u32::from(self.is_streaming)
    }

    /// The dispatches so far.
    pub fn attempts(&self) -> Attempts {
        let route = self.call.route();
        Attempts {
            is_idempotent: route.kind.is_idempotent(),
            dispatches: self.dispatches,
            unconnected: self.unconnected,
            declines: self.declines,
            possible_runs: self.possible_runs,
            in_flight: self.in_flight(),
            max_runs: route.max_attempts,
            time_left: self.time_left(),
        }
    }

    /// Records how long the answer took, which has ended.
    pub fn record_duration(&self) {
        let took = self.shared.now().since(self.call.received);
        self.shared.record_duration(&self.call.route().name, took);
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
        let refusal = refusal.map(|it| self.spread(it));
        self.fail(refusal.map_or(Reason::NotRun(REFUSED_RETRY_AFTER), Reason::NoReplica))
    }

    /// A final response generated by the node.
    pub fn fail(&self, reason: Reason) -> Response<Body> {
        let reason = match reason {
            // Nothing was sent, so the caller can be told that the request did not run.
            Reason::TimedOut if self.dispatches == 0 => Reason::NotRun(REFUSED_RETRY_AFTER),
            other => other,
        };
        metrics::counter!("bilberrylatch_refusals_total", "reason" => reason.label()).increment(1);
        self.log_end(reason.label(), reason.status().as_u16());
        reason.response()
    }

    /// The refusal with a time that depends on the request's urgency, where requests differ in it.
    fn spread(&self, refusal: Refusal) -> Refusal {
        let now = self.shared.now();
        if !refusal.is_shortage() || self.call.urgency(now).is_none() {
            return refusal;
        }
        let wait = self.call.retry_after(now, refusal.retry_after());
        log::no_capacity(&self.shared, &self.call, refusal, wait);
        refusal.with_wait(wait)
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
            attempts: self.dispatches,
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
