//! Moves a stream from a silent source to another replica.

use place::{DispatchError, DispatchOutcome};

use super::{Relay, Source, Step};
use crate::serve::Reason;
use crate::serve::attempt::{AttemptError, Failure, Reply};
use crate::serve::sent::{Exchanged, Sent};

impl Relay {
    /// Handles the response of a replica that was tried while the source is silent.
    pub(super) fn handle_hedge(&mut self, sent: Sent, exchanged: Exchanged) -> Option<Step> {
        self.dispatch.target = sent.in_flight.target().clone();
        let received = self.dispatch.accept(sent.in_flight, exchanged);
        match received.and_then(check_usable) {
            Ok(reply) => {
                self.leave_silent_source();
                self.take_over(reply);
            }
            Err(AttemptError::Failed(failure)) => {
                self.dispatch.record_lost_hedge(&failure);
                self.restore_target();
            }
            Err(AttemptError::NoReplica(_)) => {}
        }
        None
    }

    /// Handles that no event came in time: tries another replica, or leaves the source if one has taken the request.
    pub(super) fn handle_silence(&mut self, is_deadline: bool) -> Option<Step> {
        if is_deadline {
            "stream timed out".clone_into(&mut self.dispatch.cause);
            return Some(Step::Failed(Reason::TimedOut));
        }
        if !self.dispatch.sent.is_empty() {
            self.leave_silent_source();
            return None;
        }
        self.is_silent = true;
        if let Some(source) = &self.source {
            source.in_flight.record_silence();
        }
        self.dispatch.hedge(self.last_event);
        None
    }

    pub(super) fn leave_silent_source(&mut self) {
        if let Some(source) = self.take_source() {
            self.dispatch.leave(source.in_flight, "no event in time");
        }
        self.is_silent = false;
    }

    /// Goes on with the stream of another replica, whose response is usable.
    pub(super) fn take_over(&mut self, reply: Reply) {
        let (head, source) = Source::open(reply);
        self.source = Some(source);
        self.dispatch.is_streaming = true;
        self.restore_target();
        if !self.began {
            self.head = head;
        }
    }

    pub(super) fn take_source(&mut self) -> Option<Source> {
        self.dispatch.is_streaming = false;
        self.source.take()
    }

    /// Logs name the source again after another replica was tried.
    pub(super) fn restore_target(&mut self) {
        if let Some(source) = &self.source {
            self.dispatch.target = source.in_flight.target().clone();
        }
    }
}

/// A response that goes on with the stream, or a failure.
pub(in crate::serve) fn check_usable(reply: Reply) -> Result<Reply, AttemptError> {
    if reply.is_signed_success() {
        return Ok(reply);
    }
    let status = reply.pending.response.status();
    reply.in_flight.end(DispatchOutcome::Failed);
    let error = if status.is_success() {
        DispatchError::Lost
    } else {
        DispatchError::Failed {
            status: status.as_u16(),
        }
    };
    let failure = Failure::new(error, format!("replica failed with {status}"));
    Err(AttemptError::Failed(failure))
}
