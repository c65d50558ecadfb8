//! Sends a request to replicas until one responds or no further attempt is allowed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use place::{Assessment, Choice, Demand, DispatchError, DispatchOutcome, Execution, Refusal, ReplicaKey};
use tokio::time::timeout;

use super::attempt::{AttemptError, Failure, Reply};
use super::body::Body;
use super::call::Call;
use super::denial::Denial;
use super::in_flight::InFlight;
use super::relay::Relay;
use super::{Reason, buffered, log};
use crate::Shared;
use crate::edge::Forward;
use crate::shared::RequestGuard;
use crate::upstream::{Connection, PendingResponse, SendError};

/// Maximum number of dispatches per request, including those that did not run it.
const MAX_DISPATCHES: usize = 4;
/// Minimum time left for another dispatch.
const MIN_TIME_LEFT: Millis = Millis(15);
/// Timeout of an idempotent request at one replica: a multiple of the expected time plus a constant.
const TIMEOUT_FACTOR: u64 = 4;
const TIMEOUT_EXTRA: Millis = Millis(60);
/// Fraction of the time left that one attempt may use if another may follow.
const MAX_TIMEOUT_RATIO: f64 = 0.5;
/// Maximum idle time of a connection that is used for a request that must not be lost, because it must not run twice or
/// was lost before. Replicas drop connections without notice after an idle time of about 300 ms.
const MAX_IDLE: Millis = Millis(200);
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
    /// Id of the last replica.
    pub replica: Arc<str>,
    /// Cause of the last failure.
    pub cause: String,
    /// Time from the request to its first event.
    pub first_event: Option<Millis>,
    /// Expected wait and prompt tokens to compute at the last replica.
    expected: (Millis, u32),
    /// Age of the view when the last replica was chosen; `None` if it was never confirmed.
    view_age: Option<Millis>,
    /// Time from the choice of the last replica until the request was sent to it.
    send_delay: Millis,
    /// When the last replica was sent the request, or sent its last event.
    pub last_heard: Millis,
    is_counted: bool,
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
            replica: Arc::from(""),
            cause: String::new(),
            first_event: None,
            expected: (Millis::ZERO, 0),
            view_age: None,
            send_delay: Millis::ZERO,
            last_heard: Millis::ZERO,
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
        let denial = self.retry_denial(failure, assessment);
        let failed = log::Failed {
            replica: &self.replica,
            cause: &failure.cause,
            silent: self.shared.now().since(self.last_heard),
            denial,
        };
        log::dispatch_failed(&self.shared, &self.call, failed);
        denial.is_none()
    }

    /// Why no other replica may be tried after a failure; takes a retry from the budget if one may.
    fn retry_denial(&self, failure: &Failure, assessment: Assessment) -> Option<Denial> {
        let skips_retry_budget = failure.error == DispatchError::NotSent;
        if !assessment.may_retry {
            Some(Denial::MayHaveRun)
        } else if self.call.time_left(self.shared.now()) <= MIN_TIME_LEFT {
            Some(Denial::Deadline)
        } else if self.tried.len() >= MAX_DISPATCHES {
            Some(Denial::Dispatches)
        } else if self.possible_runs >= self.call.route().max_attempts {
            Some(Denial::Attempts)
        } else if !skips_retry_budget && !self.shared.try_retry(&self.call.endpoint) {
            Some(Denial::Budget)
        } else {
            None
        }
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
            replica: &self.replica,
            attempts: self.tried.len(),
            cause: &self.cause,
            expected: self.expected.0,
            tokens: self.expected.1,
            view_age: self.view_age,
            send_delay: self.send_delay,
            first_event: self.first_event,
        };
        log::ended(&self.shared, &self.call, end);
    }

    /// Selects a replica, sends it the request and waits for the head of the response.
    pub async fn attempt(&mut self, resume_after: Option<u64>) -> Result<Reply, AttemptError> {
        let shared = Arc::clone(&self.shared);
        let now = shared.now();
        let left = self.call.time_left(now);
        if left <= MIN_TIME_LEFT {
            return Err(AttemptError::Failed(Failure {
                timed_out: true,
                ..Failure::new(DispatchError::NotSent, "deadline exceeded")
            }));
        }
        let tried = self.tried.clone();
        let call = &self.call;
        let parts = call.request_head.parts.clone();
        let demand = Demand {
            parts: &parts,
            output_tokens: call.request_head.tokens.map_or(0, |it| it.output),
            zone: &shared.settings().zone,
            tried: &tried,
            version: call.versions.filter(),
            time_left: left,
        };
        let choice = shared
            .with_pool(&call.endpoint, |pool| pool.choose(now, &demand))
            .map_err(AttemptError::NoReplica)?;
        if !self.is_counted {
            shared.count_request(&call.endpoint);
            self.is_counted = true;
        }
        let in_flight = InFlight::new(&shared, &self.call, choice.clone(), &demand);
        self.tried.push(choice.replica);
        self.replica = Arc::clone(&choice.id);
        self.expected = (choice.expected_wait, choice.prefill_tokens);
        self.view_age = shared.view().freshness.age(now);
        if let Some((named_at, per_s)) = choice.rate_limit {
            let limit_age = now.since(named_at);
            log::sent_to_limited_replica(&self.call, &choice.id, per_s, limit_age, self.tried.len());
        }
        match self.exchange(&choice, resume_after).await {
            Ok(pending) => self.check_head(in_flight, pending),
            Err(failure) => {
                in_flight.end(match failure.error {
                    _ if failure.timed_out => DispatchOutcome::Cancelled,
                    DispatchError::NotSent => DispatchOutcome::Unreachable,
                    _ => DispatchOutcome::Failed,
                });
                Err(AttemptError::Failed(failure))
            }
        }
    }

    /// Sends the request and waits for the head of the response.
    async fn exchange(
        &mut self,
        choice: &Choice,
        resume_after: Option<u64>,
    ) -> Result<PendingResponse, Failure> {
        let chosen = self.shared.now();
        let tolerates_loss = self.call.route().kind.is_idempotent() && self.tried.len() == 1;
        let max_idle = if tolerates_loss { Millis::NEVER } else { MAX_IDLE };
        let connection = match self.shared.connections.take(&choice.id, choice.address, max_idle) {
            Some(connection) => connection,
            None => Connection::connect(choice.address)
                .await
                .map_err(|cause| Failure::new(DispatchError::NotSent, cause))?,
        };
        let now = self.shared.now();
        self.send_delay = now.since(chosen);
        self.last_heard = now;
        let left = self.call.time_left(now);
        if left <= MIN_TIME_LEFT {
            return Err(Failure {
                timed_out: true,
                ..Failure::new(DispatchError::NotSent, "deadline exceeded")
            });
        }
        let request = self.request(choice, left, resume_after);
        let (attempt_timeout, is_last) = self.attempt_timeout(choice, left);
        match timeout(attempt_timeout, connection.send(request)).await {
            Ok(Ok(pending)) => Ok(pending),
            Ok(Err(SendError::NotSent(cause))) => Err(Failure::new(DispatchError::NotSent, cause)),
            Ok(Err(SendError::Lost(cause))) => Err(Failure::new(DispatchError::Lost, cause)),
            Err(_elapsed) => Err(Failure {
                timed_out: is_last,
                ..Failure::new(DispatchError::Lost, "response timed out")
            }),
        }
    }

    /// How long to wait for the head of the response, and whether that is all the time left.
    fn attempt_timeout(&self, choice: &Choice, left: Millis) -> (Duration, bool) {
        let route = self.call.route();
        let may_retry = route.kind.is_idempotent()
            && self.possible_runs + 1 < route.max_attempts
            && self.tried.len() < MAX_DISPATCHES;
        if !may_retry {
            return (left.as_duration(), true);
        }
        let expected = Millis(choice.expected_wait.0 * TIMEOUT_FACTOR) + TIMEOUT_EXTRA;
        let expected = if route.kind.is_stream() {
            expected.max(route.target_latency)
        } else {
            expected
        };
        let max = Millis((left.0 as f64 * MAX_TIMEOUT_RATIO) as u64);
        (expected.min(max).as_duration(), false)
    }

    fn request(&self, choice: &Choice, left: Millis, resume_after: Option<u64>) -> Request<Full<Bytes>> {
        let call = &self.call;
        let mut headers = call.headers.clone();
        let forward = Forward {
            replica: &choice.id,
            workspace: call.workspace().map(|it| &*it.name),
            time_left: left,
            priority: (!call.request_head.parts.is_empty()).then(|| call.priority()),
            resume_after,
        };
        self.shared.edge.set_forward_headers(&mut headers, &forward);
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Checks that the response belongs to the request and that the replica ran the request.
    fn check_head(&self, in_flight: InFlight, pending: PendingResponse) -> Result<Reply, AttemptError> {
        let status = pending.response.status();
        let head = pending.response.headers();
        let response_head = self
            .shared
            .edge
            .decode_response(&self.call.request_head.id, status, head);
        in_flight.report(response_head.load);
        if response_head.not_run {
            if response_head.matches_request == Some(true) {
                in_flight.report_advice(response_head.advice);
            }
            in_flight.end(DispatchOutcome::NotRun);
            let cause = format!("replica refused with {status}");
            return Err(AttemptError::Failed(Failure::new(DispatchError::NotRun, cause)));
        }
        if response_head.matches_request == Some(false)
            || (response_head.matches_request.is_none() && status.is_success())
        {
            in_flight.end(DispatchOutcome::Failed);
            return Err(AttemptError::Failed(Failure::new(
                DispatchError::Lost,
                "response to another request",
            )));
        }
        in_flight.report_advice(response_head.advice);
        Ok(Reply {
            in_flight,
            response_head,
            pending,
        })
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        if !self.is_logged.load(Ordering::Relaxed) {
            self.log_end("caller_left", 0);
        }
    }
}
