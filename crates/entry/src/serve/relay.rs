//! Relays streams: forwards events as they arrive, and resumes an interrupted stream at another replica if the route
//! allows it.
//!
//! The head of the response is held back until the first event. Until then, an interrupted stream can still be answered
//! with an accurate status.

mod events;
mod silence;

use async_stream::stream;
use base::Millis;
use bytes::Bytes;
use http::{Response, response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use place::{DispatchError, DispatchOutcome, Refusal};
use tokio::time::sleep;

use self::events::{Events, Next};
pub(super) use self::silence::check_usable;
use super::attempt::{AttemptError, Failure, Reply};
use super::body::{Aborted, Body};
use super::dispatch::Dispatch;
use super::hedge::RETRY_INTERVAL;
use super::in_flight::InFlight;
use super::inbound::strip_connection;
use super::sent;
use super::{Reason, log};
use crate::edge::ResponseHead;
use crate::upstream::Connection;

/// Time without an event after which a resumable stream is resumed at another replica, as a multiple of the route's
/// target gap.
const STALL_FACTOR: u64 = 3;
/// Minimum of that time, since the replica may be processing the prompt of another request meanwhile.
const MIN_STALL_TIMEOUT: Millis = Millis(1_200);
/// Maximum size of the events that are forwarded after the deadline. Events that have arrived are delivered, even when late, and
/// the buffers of a connection hold less than this. A replica that never stops sending is cut off by it.
const MAX_LATE_BYTES: usize = 8 * 1024 * 1024;

/// A stream being relayed.
#[derive(Debug)]
pub(super) struct Relay {
    dispatch: Dispatch,
    /// The current source; `None` while switching to another replica.
    source: Option<Source>,
    /// Head of the response, from the replica whose event came first.
    head: response::Parts,
    /// Id of the last event that the caller has.
    last_event: Option<u64>,
    began: bool,
    /// Whether the source has sent no event in time.
    is_silent: bool,
    /// Size of the events that arrived after the deadline.
    late_bytes: usize,
}

/// The stream of a replica.
#[derive(Debug)]
struct Source {
    in_flight: InFlight,
    response_head: ResponseHead,
    connection: Connection,
    events: Events,
}

impl Source {
    fn open(reply: Reply) -> (response::Parts, Self) {
        let Reply {
            in_flight,
            response_head,
            pending,
        } = reply;
        let (head, incoming) = pending.response.into_parts();
        let source = Self {
            in_flight,
            response_head,
            connection: pending.connection,
            events: Events::new(incoming),
        };
        (head, source)
    }
}

impl Relay {
    /// The response for the caller, with the status, headers and signature of the replica whose event comes first.
    pub async fn open(dispatch: Dispatch, reply: Reply) -> Response<Body> {
        let (head, source) = Source::open(reply);
        let mut dispatch = dispatch;
        dispatch.is_streaming = true;
        let mut relay = Self {
            last_event: dispatch.call.request_head.resume_after,
            dispatch,
            source: Some(source),
            head,
            began: false,
            is_silent: false,
            late_bytes: 0,
        };
        match relay.next().await {
            Step::Failed(reason) => relay.dispatch.fail(reason),
            first => relay.into_response(first),
        }
    }

    fn into_response(mut self, first: Step) -> Response<Body> {
        let status = self.head.status;
        let mut headers = std::mem::take(&mut self.head.headers);
        strip_connection(&mut headers);
        let mut response = Response::new(self.into_body(first));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    fn into_body(mut self, first: Step) -> Body {
        let frames = stream! {
            let mut step = first;
            loop {
                match step {
                    Step::Event(event) => yield Ok(Frame::data(event)),
                    Step::End => return,
                    Step::Failed(reason) => {
                        self.log_end(reason.stream_label());
                        // The error closes the connection; what was written is flushed before that.
                        tokio::task::yield_now().await;
                        yield Err(Aborted);
                        return;
                    }
                }
                step = self.next().await;
            }
        };
        StreamBody::new(frames).boxed_unsync()
    }

    fn log_end(&self, outcome: &str) {
        self.dispatch.log_end(outcome, self.head.status.as_u16());
    }

    /// Returns the next step for the caller.
    async fn next(&mut self) -> Step {
        loop {
            if let Some(step) = self.advance().await {
                return step;
            }
        }
    }

    async fn advance(&mut self) -> Option<Step> {
        let left = self.dispatch.time_left();
        let event_timeout = self.event_timeout(left);
        let Some(source) = &mut self.source else {
            return self.resume().await;
        };
        let limit = self.dispatch.overlap_left().unwrap_or(event_timeout).min(left);
        tokio::select! {
            biased;
            next = source.events.next() => self.handle(next),
            (index, exchanged) = sent::first(&mut self.dispatch.sent) => {
                let sent = self.dispatch.sent.remove(index);
                self.handle_hedge(sent, exchanged)
            }
            () = sleep(limit.as_duration()) => self.handle_silence(limit >= left),
        }
    }

    /// Handles what the source has sent.
    fn handle(&mut self, next: Next) -> Option<Step> {
        self.is_silent = false;
        match next {
            Next::Event(event) if self.is_overdue(&event) => self.handle_silence(true),
            Next::Event(event) => {
                self.dispatch.cancel_hedges();
                self.restore_target();
                self.forward_event(event)
            }
            Next::End => {
                self.dispatch.cancel_hedges();
                self.restore_target();
                self.complete();
                Some(Step::End)
            }
            Next::Interrupted(cause) => self.handle_interruption(cause, InFlight::lose),
            Next::Refused(cause) => {
                self.handle_interruption(cause.to_owned(), |it| it.end(DispatchOutcome::Failed))
            }
        }
    }

    /// Whether too much has arrived after the deadline, with this event.
    fn is_overdue(&mut self, event: &Bytes) -> bool {
        if self.dispatch.time_left() == Millis::ZERO {
            self.late_bytes += event.len();
        }
        self.late_bytes > MAX_LATE_BYTES
    }

    /// Forwards an event unless the caller already has it.
    fn forward_event(&mut self, event: Bytes) -> Option<Step> {
        let id = self.dispatch.shared.edge.event_id(&event);
        self.dispatch.last_heard = self.dispatch.shared.now();
        self.begin();
        if let Some(id) = id {
            if self.last_event.is_some_and(|last_event| id <= last_event) {
                return None;
            }
            self.last_event = Some(id);
        }
        Some(Step::Event(event))
    }

    fn begin(&mut self) {
        let shared = &self.dispatch.shared;
        if let Some(source) = &mut self.source {
            source.in_flight.begin();
        }
        if self.began {
            return;
        }
        self.began = true;
        self.dispatch.first_event = Some(log::first_event(shared, &self.dispatch.call));
        if let Some(workspace) = self.dispatch.call.workspace() {
            shared.count_usage(&workspace.name, shared.now());
        }
    }

    fn complete(&mut self) {
        let Some(source) = self.take_source() else { return };
        source.in_flight.end(DispatchOutcome::Answered);
        if !source.response_head.closes {
            let connections = &self.dispatch.shared.connections;
            connections.put(source.connection, source.response_head.idle_timeout);
        }
        self.dispatch.record_duration();
        self.log_end("streamed");
    }

    fn handle_interruption(&mut self, cause: String, end: fn(InFlight)) -> Option<Step> {
        self.restore_target();
        if let Some(source) = self.take_source() {
            end(source.in_flight);
        }
        self.dispatch.cause.clone_from(&cause);
        let failure = Failure::new(DispatchError::Lost, cause);
        if !self.dispatch.sent.is_empty() {
            self.dispatch.record_lost_hedge(&failure);
            return None;
        }
        if self.dispatch.record_failure(&failure) {
            return None;
        }
        Some(Step::Failed(Reason::Unknown))
    }

    /// Goes on at another replica after the last event that the caller has.
    async fn resume(&mut self) -> Option<Step> {
        let received = if self.dispatch.sent.is_empty() {
            self.dispatch.attempt(self.last_event).await
        } else {
            self.dispatch.receive(self.last_event).await
        };
        if let Err(AttemptError::NoReplica(Refusal::Full(wait) | Refusal::Limited(wait))) = &received {
            // The caller has a part of the stream, or would be told that the request may have run.
            let wait = wait
                .max(&RETRY_INTERVAL)
                .min(&self.dispatch.time_left())
                .as_duration();
            sleep(wait).await;
            return None;
        }
        self.handle_attempt(received)
    }

    fn handle_attempt(&mut self, received: Result<Reply, AttemptError>) -> Option<Step> {
        let error = match received.and_then(check_usable) {
            Ok(reply) => {
                self.dispatch.leave_others();
                self.take_over(reply);
                return None;
            }
            Err(error) => error,
        };
        match error {
            AttemptError::Failed(failure) if !self.dispatch.sent.is_empty() => {
                self.dispatch.record_lost_hedge(&failure);
                return None;
            }
            AttemptError::Failed(failure) if !failure.timed_out => {
                self.dispatch.cause.clone_from(&failure.cause);
                if self.dispatch.record_failure(&failure) {
                    return None;
                }
            }
            AttemptError::Failed(failure) => {
                self.dispatch.cause = failure.cause;
                return Some(Step::Failed(Reason::TimedOut));
            }
            AttemptError::NoReplica(refusal) => refusal.label().clone_into(&mut self.dispatch.cause),
        }
        Some(Step::Failed(Reason::Unknown))
    }

    /// How long to wait for the next event.
    fn event_timeout(&self, left: Millis) -> Millis {
        let route = self.dispatch.call.route();
        if self.dispatch.attempts().denial_during_silence().is_some() {
            return left;
        }
        if self.is_silent {
            return RETRY_INTERVAL;
        }
        let gap = route.target_gap.unwrap_or(MIN_STALL_TIMEOUT);
        let stall_timeout = Millis(gap.0 * STALL_FACTOR).max(MIN_STALL_TIMEOUT);
        if self.began {
            stall_timeout
        } else {
            stall_timeout.max(Millis(route.target_latency.0 * 2))
        }
    }
}

/// The next step of the stream for the caller.
#[derive(Debug)]
enum Step {
    Event(Bytes),
    End,
    /// The stream cannot continue, for this reason.
    Failed(Reason),
}
