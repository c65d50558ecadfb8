//! Sends a request to a replica and waits for the head of the response.

use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use place::{Choice, Demand, DispatchError, DispatchOutcome, Refusal};
use tokio::time::timeout;

use super::attempt::{AttemptError, Failure, Reply};
use super::dispatch::Dispatch;
use super::handover::{Handover, RETRY_INTERVAL};
use super::in_flight::InFlight;
use super::log;
use super::sent::{Sent, Target};
use crate::edge::Forward;
use crate::net::Liveness;
use crate::upstream::{Connection, PendingResponse, SendError};

/// Timeout of an idempotent request at one replica: a multiple of the expected time plus a constant.
const TIMEOUT_FACTOR: u64 = 4;
const TIMEOUT_EXTRA: Millis = Millis(60);
/// Fraction of the time left that one attempt may use if another may follow.
const MAX_TIMEOUT_RATIO: f64 = 0.5;
/// Maximum idle time of a connection that is used for a request that must not be lost, because it must not run twice or
/// was lost before. Replicas drop connections without notice after an idle time of about 300 ms.
const MAX_IDLE: Millis = Millis(200);
/// A replica may stop for a second or two, with its network, and go on. Requests that may move are moved to another replica
/// before that; for the others this connection is all they have.
const LIVENESS: Liveness = Liveness {
    unacknowledged: Duration::from_secs(4),
    probe: Duration::from_secs(1),
};

impl Dispatch {
    /// Selects a replica, sends it the request and waits for the head of the response.
    pub async fn attempt(&mut self, resume_after: Option<u64>) -> Result<Reply, AttemptError> {
        if self.attempts().is_too_late() {
            return Err(Self::too_late());
        }
        let choice = self.choose().map_err(AttemptError::NoReplica)?;
        let sent = self.connect(choice, resume_after).await?;
        self.receive(sent, resume_after).await
    }

    /// Selects a replica that the request was not sent to yet.
    pub fn choose(&self) -> Result<Choice, Refusal> {
        self.with_demand(|demand| {
            let now = self.shared.now();
            self.shared
                .with_pool(&self.call.endpoint, |pool| pool.choose(now, demand))
        })
    }

    fn with_demand<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&Demand<'_>) -> T,
    {
        let call = &self.call;
        let settings = self.shared.settings();
        work(&Demand {
            parts: &call.request_head.parts,
            output_tokens: call.request_head.tokens.map_or(0, |it| it.output),
            zone: &settings.zone,
            tried: &self.tried,
            version: call.versions.filter(),
            time_left: self.time_left(),
        })
    }

    /// Connects to a replica. The request is sent when the exchange is first polled.
    pub async fn connect(&mut self, choice: Choice, resume_after: Option<u64>) -> Result<Sent, AttemptError> {
        let chosen = self.shared.now();
        self.last_heard = chosen;
        if !self.is_counted {
            self.shared.count_request(&self.call.endpoint);
            self.is_counted = true;
        }
        let in_flight =
            self.with_demand(|demand| InFlight::new(&self.shared, &self.call, choice.clone(), demand));
        self.tried.push(choice.replica);
        self.target = Target {
            replica: Arc::clone(&choice.id),
            expected_wait: choice.expected_wait,
            prefill_tokens: choice.prefill_tokens,
            view_age: self.shared.view().freshness.age(chosen),
            send_delay: Millis::ZERO,
        };
        if let Some((named_at, per_s)) = choice.rate_limit {
            let limit_age = chosen.since(named_at);
            log::sent_to_limited_replica(&self.call, &choice.id, per_s, limit_age, self.tried.len());
        }
        let connection = match self.connection(&choice).await {
            Ok(connection) => connection,
            Err(cause) => {
                in_flight.end(DispatchOutcome::Unreachable);
                let failure = Failure::new(DispatchError::NotSent, cause);
                return Err(AttemptError::Failed(failure));
            }
        };
        self.target.send_delay = self.shared.now().since(chosen);
        if self.attempts().is_too_late() {
            in_flight.end(DispatchOutcome::Cancelled);
            return Err(Self::too_late());
        }
        let request = self.request(&choice, self.time_left(), resume_after);
        Ok(Sent {
            in_flight,
            exchange: Box::pin(connection.send(request)),
            patience: self.patience(&choice),
        })
    }

    fn too_late() -> AttemptError {
        AttemptError::Failed(Failure {
            timed_out: true,
            ..Failure::new(DispatchError::NotSent, "deadline exceeded")
        })
    }

    async fn connection(&self, choice: &Choice) -> Result<Connection, String> {
        let tolerates_loss = self.call.route().kind.is_idempotent() && self.tried.len() == 1;
        let max_idle = if tolerates_loss { Millis::NEVER } else { MAX_IDLE };
        match self.shared.connections.take(&choice.id, choice.address, max_idle) {
            Some(connection) => Ok(connection),
            None => Connection::connect(choice.address, LIVENESS).await,
        }
    }

    /// Waits for the head of the response. While the replica is silent, others are tried.
    pub async fn receive(
        &mut self,
        mut sent: Sent,
        resume_after: Option<u64>,
    ) -> Result<Reply, AttemptError> {
        self.last_heard = self.shared.now();
        let mut patience = sent.patience;
        loop {
            let left = self.time_left();
            if let Ok(exchanged) = timeout(patience.min(left).as_duration(), &mut sent.exchange).await {
                return self.accept(sent.in_flight, exchanged);
            }
            if patience >= left {
                sent.in_flight.end(DispatchOutcome::Cancelled);
                return Err(AttemptError::Failed(Failure {
                    timed_out: true,
                    ..Failure::new(DispatchError::Lost, "response timed out")
                }));
            }
            patience = RETRY_INTERVAL;
            match self.hand_over(resume_after, &mut sent.exchange).await {
                Handover::WentOn(exchanged) => return self.accept(sent.in_flight, exchanged),
                Handover::Answered(reply) => {
                    sent.in_flight.end(DispatchOutcome::Failed);
                    "response timed out".clone_into(&mut self.cause);
                    return Ok(*reply);
                }
                Handover::Taken(other) => {
                    sent.in_flight.end(DispatchOutcome::Failed);
                    "response timed out".clone_into(&mut self.cause);
                    patience = other.patience;
                    sent = other;
                    self.last_heard = self.shared.now();
                }
                Handover::Failed => {}
            }
        }
    }

    /// How long a replica may take for the head of the response before it counts as silent.
    fn patience(&self, choice: &Choice) -> Millis {
        let route = self.call.route();
        let left = self.time_left();
        if self.attempts().denial_during_silence().is_some() {
            return left;
        }
        let expected = Millis(choice.expected_wait.0 * TIMEOUT_FACTOR) + TIMEOUT_EXTRA;
        let expected = if route.kind.is_stream() {
            expected.max(route.target_latency)
        } else {
            expected
        };
        expected.min(Millis((left.0 as f64 * MAX_TIMEOUT_RATIO) as u64))
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

    /// The reply of a replica, or why there is none.
    pub fn accept(
        &self,
        in_flight: InFlight,
        exchanged: Result<PendingResponse, SendError>,
    ) -> Result<Reply, AttemptError> {
        let (error, outcome, cause) = match exchanged {
            Ok(pending) => return self.check_head(in_flight, pending),
            Err(SendError::NotSent(cause)) => (DispatchError::NotSent, DispatchOutcome::Unreachable, cause),
            Err(SendError::Lost(cause)) => (DispatchError::Lost, DispatchOutcome::Failed, cause),
        };
        in_flight.end(outcome);
        Err(AttemptError::Failed(Failure::new(error, cause)))
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
