//! Sends a request to replicas and waits for the head of a response.

use std::sync::Arc;

use admission::Urgency;
use base::Millis;
use place::{Choice, Claim, Demand, DispatchError, DispatchOutcome, Refusal, ReplicaKey, is_status};
use tokio::time::timeout;

use super::attempt::{AttemptError, Failure, Reply};
use super::dispatch::{Dispatch, Links};
use super::forward::{Hop, send_through};
use super::in_flight::InFlight;
use super::log;
use super::outgoing::Outgoing;
use super::pick::Pick;
use super::sent::{self, Exchange, ExchangeError, Exchanged, Sent};
use crate::shared::Path;
use crate::upstream::PendingResponse;

/// Timeout of an idempotent request at one replica: a multiple of the expected time plus a constant.
const TIMEOUT_FACTOR: u64 = 4;
const TIMEOUT_EXTRA: Millis = Millis(60);
/// Fraction of the time left that one attempt may use if another may follow.
const MAX_TIMEOUT_RATIO: f64 = 0.5;
/// Maximum idle time of a connection that is used for a request that must not be lost, because it must not run twice or
/// was lost before. Replicas drop connections without notice after an idle time of about 300 ms.
const MAX_IDLE: Millis = Millis(200);
impl Dispatch {
    /// Sends the request to a replica and waits for the head of a response.
    pub async fn attempt(&mut self, resume_after: Option<u64>) -> Result<Reply, AttemptError> {
        if self.attempts().is_too_late() {
            return Err(AttemptError::Failed(Failure {
                timed_out: true,
                ..Failure::new(DispatchError::NotSent, "deadline exceeded")
            }));
        }
        let pick = self.choose().map_err(AttemptError::NoReplica)?;
        self.send(&pick, resume_after);
        self.receive(resume_after).await
    }

    /// Selects a replica that the request was not sent to yet, and the way to it.
    pub fn choose(&mut self) -> Result<Pick, Refusal> {
        let links = self.links();
        let before = std::mem::replace(&mut self.links, links);
        let begins_detour = links == Links::Detour && before != Links::Detour;
        if begins_detour && self.sent.is_empty() && self.possible_runs == 0 {
            // Replicas that this node could not connect to are reached by others.
            self.tried.clear();
        }
        let choice = self.with_demand(|demand| {
            let now = self.shared.now();
            self.shared
                .with_pool(&self.call.endpoint, |pool| pool.choose(now, demand))
        })?;
        // A request that was sent as a late one is one as well at a replica that is tried beside a silent one.
        let is_spare = self.target.is_spare && self.in_flight() > 0 && self.first_event.is_none();
        let intermediary = match self.path_to(choice.replica) {
            Path::Direct => None,
            Path::Through(intermediary) => Some(intermediary),
            Path::None => return Err(Refusal::Unreachable),
        };
        Ok(Pick {
            choice: Choice {
                is_indirect: intermediary.is_some(),
                is_spare: choice.is_spare || is_spare,
                ..choice
            },
            intermediary,
        })
    }

    fn links(&self) -> Links {
        let Self { shared, call, .. } = self;
        if !shared.with_pool(&call.endpoint, |pool| pool.is_cut_off()) {
            Links::Up
        } else if shared.has_detour(&call.endpoint, call.zones.as_deref()) {
            Links::Detour
        } else {
            Links::Down
        }
    }

    fn path_to(&self, replica: ReplicaKey) -> Path {
        let zones = self.call.zones.as_deref();
        self.shared.path_to(&self.call.endpoint, replica, zones)
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
            zones: call.zones.as_deref(),
            time_left: self.time_left(),
            has_detour: self.links == Links::Detour,
            urgency: self.urgency(),
        })
    }

    /// How urgent the request is. One that a replica may have run, or is running, takes any capacity there is.
    fn urgency(&self) -> Option<Urgency> {
        let is_new = self.possible_runs == 0 && self.in_flight() == 0 && self.first_event.is_none();
        let is_active = self.shared.settings().capacity_by_urgency;
        (is_new && is_active)
            .then(|| self.call.urgency(self.shared.now()))
            .flatten()
    }

    /// Sends the request to a replica, beside those that have it.
    pub fn send(&mut self, pick: &Pick, resume_after: Option<u64>) {
        let choice = &pick.choice;
        let now = self.shared.now();
        if !self.is_counted {
            self.shared.count_request(&self.call.endpoint);
            self.is_counted = true;
        }
        let in_flight =
            self.with_demand(|demand| InFlight::new(&self.shared, &self.call, pick.clone(), demand));
        self.target = in_flight.target().clone();
        self.tried.push(choice.replica);
        self.dispatches += 1;
        self.last_heard = now;
        if let Some((named_at, per_s)) = choice.rate_limit {
            let limit_age = now.since(named_at);
            log::sent_to_limited_replica(&self.call, &choice.id, per_s, limit_age, self.dispatches);
        }
        let exchange = self.exchange(pick, resume_after);
        self.sent.push(Sent {
            in_flight,
            exchange,
            patience: Millis::ZERO,
        });
        // This replica counts as one that has the request.
        let patience = self.patience(choice);
        if let Some(sent) = self.sent.last_mut() {
            sent.patience = patience;
        }
    }

    fn exchange(&self, pick: &Pick, resume_after: Option<u64>) -> Exchange {
        let tolerates_loss = self.call.route().kind.is_idempotent() && self.dispatches == 1;
        let max_idle = if tolerates_loss { Millis::NEVER } else { MAX_IDLE };
        // On a new connection, the response is no late one to an earlier request, which only the id can tell otherwise.
        let max_idle = (!self.call.request_head.id.is_empty()).then_some(max_idle);
        let shared = Arc::clone(&self.shared);
        let endpoint = Arc::clone(&self.call.endpoint);
        let replica = pick.choice.destination();
        let intermediary = pick.intermediary;
        let (chosen, send_delay) = (shared.now(), self.target.send_delay.clone());
        let outgoing = Outgoing::new(&self.call, &pick.choice, resume_after);
        Box::pin(async move {
            let request = || {
                send_delay.record(shared.now().since(chosen));
                outgoing.into_request(&shared)
            };
            if let Some(intermediary) = intermediary {
                let hop = Hop {
                    intermediary,
                    endpoint,
                    replica: replica.id,
                    max_idle: max_idle.unwrap_or(MAX_IDLE),
                };
                return send_through(&shared, hop, request).await;
            }
            let connected = shared.connect_replica(&endpoint, &replica, max_idle).await;
            let connection = connected.map_err(ExchangeError::NotSent)?;
            connection.send(request()).await.map_err(ExchangeError::from)
        })
    }

    /// Waits for the head of a response. While the replicas that have the request are silent, another one is tried beside
    /// them. The others still have the request when one has answered.
    pub async fn receive(&mut self, resume_after: Option<u64>) -> Result<Reply, AttemptError> {
        let mut patience = self.sent.last().map_or(Millis::ZERO, |sent| sent.patience);
        loop {
            let left = self.time_left();
            let limit = self.overlap_left().unwrap_or(patience).min(left);
            match timeout(limit.as_duration(), sent::first(&mut self.sent)).await {
                Ok((index, exchanged)) => {
                    let sent = self.sent.remove(index);
                    self.target = sent.in_flight.target().clone();
                    match self.accept(sent.in_flight, exchanged) {
                        Err(AttemptError::Failed(failure)) if !self.sent.is_empty() => {
                            self.record_lost_hedge(&failure);
                        }
                        received => return received,
                    }
                }
                Err(_elapsed) if limit >= left => {
                    for sent in self.sent.drain(..) {
                        sent.in_flight.end(DispatchOutcome::Cancelled);
                    }
                    return Err(AttemptError::Failed(Failure {
                        timed_out: true,
                        ..Failure::new(DispatchError::Lost, "response timed out")
                    }));
                }
                Err(_elapsed) if self.overlap_left().is_some() => {
                    let silent = self.sent.remove(0);
                    self.leave(silent.in_flight, "response timed out");
                    patience = self.sent.last().map_or(Millis::ZERO, |sent| sent.patience);
                }
                Err(_elapsed) => patience = self.hedge(resume_after),
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

    /// The reply of a replica, or why there is none.
    pub fn accept(&mut self, in_flight: InFlight, exchanged: Exchanged) -> Result<Reply, AttemptError> {
        let (error, cause) = match exchanged {
            Ok(pending) => return self.check_head(in_flight, pending),
            Err(ExchangeError::NotSent(cause)) => {
                // Of a replica behind another node, this says nothing.
                let outcome = if in_flight.choice().is_indirect {
                    DispatchOutcome::NotRun
                } else {
                    DispatchOutcome::Unreachable
                };
                in_flight.end(outcome);
                (DispatchError::NotSent, cause)
            }
            Err(ExchangeError::Declined(cause)) => {
                self.record_decline(in_flight.choice().replica);
                in_flight.end(DispatchOutcome::Cancelled);
                (DispatchError::Declined, cause)
            }
            Err(ExchangeError::Lost(cause)) => {
                in_flight.lose();
                (DispatchError::Lost, cause)
            }
        };
        Err(AttemptError::Failed(Failure::new(error, cause)))
    }

    /// Checks that the response belongs to the request and that the replica ran the request.
    fn check_head(&self, in_flight: InFlight, pending: PendingResponse) -> Result<Reply, AttemptError> {
        let status = pending.response.status();
        if !is_status(status.as_u16()) {
            in_flight.end(DispatchOutcome::Failed);
            let cause = format!("response with the invalid status {}", status.as_u16());
            return Err(AttemptError::Failed(Failure::new(DispatchError::Lost, cause)));
        }
        let head = pending.response.headers();
        let response_head = self
            .shared
            .edge
            .decode_response(&self.call.request_head.id, status, head);
        match response_head.claim() {
            Claim::Response => in_flight.report(response_head.load),
            Claim::NotRun => {
                in_flight.report(response_head.load);
                in_flight.report_advice(response_head.advice);
                in_flight.end(DispatchOutcome::NotRun);
                let cause = format!("replica refused with {status}");
                return Err(AttemptError::Failed(Failure::new(DispatchError::NotRun, cause)));
            }
            Claim::Foreign => {
                log::foreign_response(&self.call, in_flight.target(), response_head.echo, status);
                in_flight.end(DispatchOutcome::Failed);
                return Err(AttemptError::Failed(Failure::new(
                    DispatchError::Lost,
                    "response to another request",
                )));
            }
        }
        in_flight.report_advice(response_head.advice);
        Ok(Reply {
            in_flight,
            response_head,
            pending,
        })
    }
}
