//! Streams: events are passed on as they come, and a stream that breaks goes on at another replica if it may.
//!
//! The head of the answer waits for the first event: until then a stream that breaks can still be answered with what
//! became of it.

mod events;

use std::time::Duration;

use async_stream::stream;
use base::Millis;
use bytes::Bytes;
use http::{Response, response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use place::{DispatchError, Outcome};
use tokio::time::timeout;

use self::events::{Events, Next};
use super::body::{Body, Broken};
use super::dispatch::Dispatch;
use super::end::{Miss, Reply, Stop};
use super::flight::Flight;
use super::intake::strip_connection;
use super::{Reason, log};
use crate::edge::ResponseHead;
use crate::upstream::Link;

/// Silence after which a stream that may be resumed goes on elsewhere, as a multiple of the pause that callers hope for.
const SILENCE_FACTOR: u64 = 3;
/// Shortest such silence: a prompt of another request may be read meanwhile.
const LEAST_SILENCE: Millis = Millis(1_200);

/// A stream under way.
#[derive(Debug)]
pub(super) struct Relay {
    dispatch: Dispatch,
    /// The present source; `None` between two replicas.
    source: Option<Source>,
    /// Head of the answer: that of the replica whose events came first.
    head: response::Parts,
    /// Last event that the caller has.
    last: Option<u64>,
    began: bool,
}

/// A replica's stream.
#[derive(Debug)]
struct Source {
    flight: Flight,
    answer: ResponseHead,
    link: Link,
    events: Events,
}

impl Source {
    fn open(reply: Reply) -> (response::Parts, Self) {
        let Reply { flight, answer, sent } = reply;
        let (head, incoming) = sent.response.into_parts();
        let source = Self {
            flight,
            answer,
            link: sent.link,
            events: Events::new(incoming),
        };
        (head, source)
    }
}

impl Relay {
    /// The answer to the caller, with the status, headers and signature of the replica whose events come first.
    pub async fn open(dispatch: Dispatch, reply: Reply) -> Response<Body> {
        let (head, source) = Source::open(reply);
        let mut relay = Self {
            last: dispatch.call.request_head.resume_after,
            dispatch,
            source: Some(source),
            head,
            began: false,
        };
        match relay.next().await {
            Step::Broken(reason) => relay.dispatch.finish(reason),
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
                    Step::Broken(reason) => {
                        self.log_end(reason.stream_label());
                        yield Err(Broken);
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

    /// The next event for the caller.
    async fn next(&mut self) -> Step {
        loop {
            if let Some(step) = self.turn().await {
                return step;
            }
        }
    }

    async fn turn(&mut self) -> Option<Step> {
        let left = self.dispatch.call.left(self.dispatch.shared.now());
        let patience = self.patience(left);
        let Some(source) = &mut self.source else {
            return self.resume().await;
        };
        let next = match timeout(patience, source.events.next()).await {
            Ok(next) => next,
            Err(_elapsed) if patience >= left.as_duration() => {
                "stream not finished in time".clone_into(&mut self.dispatch.cause);
                return Some(Step::Broken(Reason::TimedOut));
            }
            Err(_elapsed) => Next::Broken("silent".to_owned()),
        };
        match next {
            Next::Event(event) => self.pass(event),
            Next::End => {
                self.finish();
                Some(Step::End)
            }
            Next::Broken(cause) => self.broken(cause),
        }
    }

    /// Passes an event on, unless the caller has it already.
    fn pass(&mut self, event: Bytes) -> Option<Step> {
        let id = self.dispatch.shared.edge.event_id(&event);
        self.begin();
        if let Some(id) = id {
            if self.last.is_some_and(|last| id <= last) {
                return None;
            }
            self.last = Some(id);
        }
        Some(Step::Event(event))
    }

    fn begin(&mut self) {
        let shared = &self.dispatch.shared;
        if let Some(source) = &mut self.source {
            source.flight.begin();
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

    fn finish(&mut self) {
        let Some(source) = self.source.take() else { return };
        let choice = source.flight.choice().clone();
        source.flight.end(Outcome::Answered);
        if !source.answer.closes {
            let links = &self.dispatch.shared.links;
            links.put(
                &choice.id,
                choice.address,
                source.link,
                source.answer.idle_timeout,
            );
        }
        self.log_end("streamed");
    }

    fn broken(&mut self, cause: String) -> Option<Step> {
        if let Some(source) = self.source.take() {
            source.flight.end(Outcome::Failed);
        }
        self.dispatch.cause.clone_from(&cause);
        if self.dispatch.note(&Miss::new(DispatchError::Lost, cause)) {
            return None;
        }
        Some(Step::Broken(Reason::Unknown))
    }

    /// Goes on at another replica after the last event that the caller has.
    async fn resume(&mut self) -> Option<Step> {
        let stop = match self.dispatch.once(self.last).await {
            Ok(reply) => match Self::reopen(reply) {
                Ok((head, source)) => {
                    self.source = Some(source);
                    if !self.began {
                        self.head = head;
                    }
                    return None;
                }
                Err(miss) => Stop::Miss(miss),
            },
            Err(stop) => stop,
        };
        match stop {
            Stop::Miss(miss) if !miss.timed_out => {
                self.dispatch.cause.clone_from(&miss.cause);
                if self.dispatch.note(&miss) {
                    return None;
                }
            }
            Stop::Miss(miss) => {
                self.dispatch.cause = miss.cause;
                return Some(Step::Broken(Reason::TimedOut));
            }
            Stop::Refused(refusal) => refusal.label().clone_into(&mut self.dispatch.cause),
        }
        Some(Step::Broken(Reason::Unknown))
    }

    /// The stream that goes on, or a miss if the replica failed.
    fn reopen(reply: Reply) -> Result<(response::Parts, Source), Miss> {
        if reply.is_signed_success() {
            return Ok(Source::open(reply));
        }
        let status = reply.sent.response.status();
        reply.flight.end(Outcome::Failed);
        let event = if status.is_success() {
            DispatchError::Lost
        } else {
            DispatchError::Failed {
                status: status.as_u16(),
            }
        };
        Err(Miss::new(event, format!("replica failed with {status}")))
    }

    /// How long to wait for the next event.
    fn patience(&self, left: Millis) -> Duration {
        let route = self.dispatch.call.route();
        let may_resume = route.kind.is_idempotent() && self.dispatch.runs + 1 < route.max_attempts;
        if !may_resume {
            return left.as_duration();
        }
        let gap = route.target_gap.unwrap_or(LEAST_SILENCE);
        let silence = Millis(gap.0 * SILENCE_FACTOR).max(LEAST_SILENCE);
        let silence = if self.began {
            silence
        } else {
            silence.max(Millis(route.target_latency.0 * 2))
        };
        silence.min(left).as_duration()
    }
}

/// What follows for the caller.
#[derive(Debug)]
enum Step {
    Event(Bytes),
    End,
    /// It can't go on, for this reason.
    Broken(Reason),
}
