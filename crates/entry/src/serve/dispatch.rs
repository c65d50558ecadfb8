//! Sends a request to replicas until there is an answer or nothing more may be tried.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use place::{Choice, Demand, DispatchError, Execution, Outcome, Refusal, ReplicaKey};
use tokio::time::timeout;

use super::body::Body;
use super::call::Call;
use super::end::{Miss, Reply, Stop};
use super::flight::Flight;
use super::relay::Relay;
use super::{Reason, log, whole};
use crate::Shared;
use crate::edge::Forward;
use crate::shared::RequestGuard;
use crate::upstream::{Failure, Link, Sent};

/// Dispatches of one request at most, those that did not run included.
const MOST_DISPATCHES: usize = 4;
/// Time left below which no dispatch is worth while.
const LEAST_LEFT: Millis = Millis(15);
/// Patience with an idempotent request at one replica: this multiple of what is expected, and this much besides.
const PATIENCE_FACTOR: u64 = 4;
const PATIENCE_MORE: Millis = Millis(60);
/// Part of the time left that one replica may use up if another one may be tried.
const PATIENCE_PART: f64 = 0.5;
/// Longest rest of a connection on which a request is sent that must not be lost, since it must not run twice or was
/// lost before: replicas forget connections without notice, from a rest of about 300 ms on.
const MOST_REST: Millis = Millis(200);
/// When to come back after replicas refused: their queues are short.
const REFUSED_RETRY: Millis = Millis(250);

/// A request under way.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub shared: Arc<Shared>,
    pub call: Call,
    /// Replicas that it was sent to.
    pub tried: Vec<ReplicaKey>,
    /// Replicas on which it may have run.
    pub runs: u32,
    /// Id of the last replica.
    pub replica: Arc<str>,
    /// What went wrong last.
    pub cause: String,
    /// Time from the request to its first event.
    pub first_event: Option<Millis>,
    /// What was expected of the last replica: time, and tokens that it has to read.
    expected: (Millis, u32),
    counted: bool,
    /// Whether its end was logged.
    logged: AtomicBool,
    _waiting: RequestGuard,
}

impl Dispatch {
    pub fn new(shared: Arc<Shared>, call: Call) -> Self {
        Self {
            _waiting: shared.track_request(),
            shared,
            call,
            tried: Vec::new(),
            runs: 0,
            replica: Arc::from(""),
            cause: String::new(),
            first_event: None,
            expected: (Millis::ZERO, 0),
            counted: false,
            logged: AtomicBool::new(false),
        }
    }

    /// The answer to the caller.
    pub async fn run(mut self) -> Response<Body> {
        let mut failed: Option<Response<Body>> = None;
        loop {
            let miss = match self.once(None).await {
                Ok(reply) if self.call.route().kind.is_stream() && reply.is_signed_success() => {
                    return Relay::open(self, reply).await;
                }
                Ok(reply) => match whole::read(&self, reply).await {
                    Ok(response) => {
                        self.log_end("answered", response.status().as_u16());
                        return response;
                    }
                    Err(miss) => miss,
                },
                Err(Stop::Miss(miss)) => miss,
                Err(Stop::Refused(refusal)) => return self.refuse(failed, Some(refusal)),
            };
            self.cause.clone_from(&miss.cause);
            if miss.timed_out {
                return self.finish(Reason::TimedOut);
            }
            let may_repeat = self.note(&miss);
            failed = miss.passed.map(|passed| *passed).or(failed);
            if !may_repeat {
                return self.refuse(failed, None);
            }
        }
    }

    /// Takes in a miss; whether another replica may be tried.
    pub fn note(&mut self, miss: &Miss) -> bool {
        let fate = miss.event.assess(self.call.route().kind.is_idempotent());
        if fate.execution != Execution::NotRun {
            self.runs += 1;
        }
        let has_time = self.call.left(self.shared.now()) > LEAST_LEFT;
        let is_free = miss.event == DispatchError::NotSent;
        let may_repeat = fate.may_retry
            && has_time
            && self.tried.len() < MOST_DISPATCHES
            && self.runs < self.call.route().max_attempts
            && (is_free || self.shared.try_retry(&self.call.endpoint));
        log::repeated(&self.shared, &self.call, &self.replica, &miss.cause, may_repeat);
        may_repeat
    }

    /// The final answer when nothing more may be tried.
    fn refuse(&self, failed: Option<Response<Body>>, refusal: Option<Refusal>) -> Response<Body> {
        if let Some(failed) = failed {
            self.log_end("failed", failed.status().as_u16());
            return failed;
        }
        if self.runs > 0 {
            return self.finish(Reason::Unknown);
        }
        self.refund_quota();
        self.finish(refusal.map_or(Reason::NotRun(REFUSED_RETRY), Reason::NoPlace))
    }

    /// The node's own final answer.
    pub fn finish(&self, reason: Reason) -> Response<Body> {
        let reason = match reason {
            // Nothing was sent: say so.
            Reason::TimedOut if self.runs == 0 && self.tried.is_empty() => Reason::NotRun(REFUSED_RETRY),
            other => other,
        };
        metrics::counter!("bilberrylatch_refusals_total", "reason" => reason.label()).increment(1);
        self.log_end(reason.label(), reason.status().as_u16());
        reason.response()
    }

    fn refund_quota(&self) {
        if let Some(workspace) = self.call.workspace() {
            self.shared.refund_quota(workspace, self.call.charge());
        }
    }

    pub fn log_end(&self, outcome: &str, status: u16) {
        self.logged.store(true, Ordering::Relaxed);
        let end = log::End {
            outcome,
            status,
            replica: &self.replica,
            attempts: self.tried.len(),
            cause: &self.cause,
            expected: self.expected.0,
            tokens: self.expected.1,
            first_event: self.first_event,
        };
        log::ended(&self.shared, &self.call, end);
    }

    /// Chooses a replica and sends the request there, up to the head of its answer.
    pub async fn once(&mut self, resume_after: Option<u64>) -> Result<Reply, Stop> {
        let shared = Arc::clone(&self.shared);
        let now = shared.now();
        let left = self.call.left(now);
        if left <= LEAST_LEFT {
            return Err(Stop::Miss(Miss {
                timed_out: true,
                ..Miss::new(DispatchError::NotSent, "no time left")
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
            .map_err(Stop::Refused)?;
        if !self.counted {
            shared.count_request(&call.endpoint);
            self.counted = true;
        }
        let flight = Flight::new(&shared, &self.call, choice.clone(), &demand);
        self.tried.push(choice.replica);
        self.replica = Arc::clone(&choice.id);
        self.expected = (choice.expected_wait, choice.prefill_tokens);
        match self.exchange(&choice, resume_after).await {
            Ok(sent) => self.judge(flight, sent),
            Err(miss) => {
                flight.end(match miss.event {
                    _ if miss.timed_out => Outcome::Cancelled,
                    DispatchError::NotSent => Outcome::Unreachable,
                    _ => Outcome::Failed,
                });
                Err(Stop::Miss(miss))
            }
        }
    }

    /// Sends the request and waits for the head of the answer.
    async fn exchange(&self, choice: &Choice, resume_after: Option<u64>) -> Result<Sent, Miss> {
        let may_be_lost = self.call.route().kind.is_idempotent() && self.tried.len() == 1;
        let most_rest = if may_be_lost { Millis::NEVER } else { MOST_REST };
        let link = match self.shared.links.take(&choice.id, choice.address, most_rest) {
            Some(link) => link,
            None => Link::connect(choice.address)
                .await
                .map_err(|cause| Miss::new(DispatchError::NotSent, cause))?,
        };
        let left = self.call.left(self.shared.now());
        if left <= LEAST_LEFT {
            return Err(Miss {
                timed_out: true,
                ..Miss::new(DispatchError::NotSent, "no time left")
            });
        }
        let request = self.request(choice, left, resume_after);
        let (patience, is_last) = self.patience(choice, left);
        match timeout(patience, link.send(request)).await {
            Ok(Ok(sent)) => Ok(sent),
            Ok(Err(Failure::NotSent(cause))) => Err(Miss::new(DispatchError::NotSent, cause)),
            Ok(Err(Failure::Lost(cause))) => Err(Miss::new(DispatchError::Lost, cause)),
            Err(_elapsed) => Err(Miss {
                timed_out: is_last,
                ..Miss::new(DispatchError::Lost, "no answer in time")
            }),
        }
    }

    /// How long to wait for the head of an answer, and whether that is all the time there is.
    fn patience(&self, choice: &Choice, left: Millis) -> (Duration, bool) {
        let route = self.call.route();
        let may_repeat = route.kind.is_idempotent()
            && self.runs + 1 < route.max_attempts
            && self.tried.len() < MOST_DISPATCHES;
        if !may_repeat {
            return (left.as_duration(), true);
        }
        let expected = Millis(choice.expected_wait.0 * PATIENCE_FACTOR) + PATIENCE_MORE;
        let expected = if route.kind.is_stream() {
            expected.max(route.target_latency)
        } else {
            expected
        };
        let most = Millis((left.0 as f64 * PATIENCE_PART) as u64);
        (expected.min(most).as_duration(), false)
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

    /// Whether an answer's head belongs to the request and is a success.
    fn judge(&self, flight: Flight, sent: Sent) -> Result<Reply, Stop> {
        let status = sent.response.status();
        let head = sent.response.headers();
        let answer = self
            .shared
            .edge
            .decode_response(&self.call.request_head.id, status, head);
        flight.report(answer.load);
        if answer.not_run {
            flight.end(Outcome::NotRun);
            let cause = format!("replica refused with {status}");
            return Err(Stop::Miss(Miss::new(DispatchError::NotRun, cause)));
        }
        if answer.matches_request == Some(false) || (answer.matches_request.is_none() && status.is_success())
        {
            flight.end(Outcome::Failed);
            return Err(Stop::Miss(Miss::new(
                DispatchError::Lost,
                "answer to another request",
            )));
        }
        Ok(Reply { flight, answer, sent })
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        if !self.logged.load(Ordering::Relaxed) {
            self.log_end("caller_left", 0);
        }
    }
}
