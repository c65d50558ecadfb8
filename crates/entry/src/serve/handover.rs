//! Moves a request from a silent replica to another one. The silent replica is left only once the other has taken the
//! request.

use std::pin::pin;

use base::Millis;
use place::{Choice, Denial, DispatchError, DispatchOutcome, Refusal, promises_not_run};
use tokio::time::{sleep, timeout};

use super::attempt::{AttemptError, Failure, Reply};
use super::dispatch::Dispatch;
use super::log;
use super::sent::{Sent, Target};

/// Interval between attempts to move a request whose replica stays silent.
pub(super) const RETRY_INTERVAL: Millis = Millis(250);
/// Time for another replica to refuse a stream. The silent replica must not run it for much longer than that beside the
/// other one.
const STREAM_OVERLAP: Millis = Millis(300);

/// How the attempt to move a request ended.
#[derive(Debug)]
pub(super) enum Handover<T> {
    /// The silent replica went on.
    WentOn(T),
    /// The other replica answered.
    Answered(Box<Reply>),
    /// The other replica has not refused the request in time.
    Taken(Sent),
    /// The other replica did not take the request, or failed. The silent one still has it.
    Failed,
}

impl Dispatch {
    /// Sends the request to another replica, while `silent` still waits for the first one. If that one goes on, the other
    /// is given up.
    pub async fn hand_over<F, T>(&mut self, resume_after: Option<u64>, silent: F) -> Handover<T>
    where
        F: Future<Output = T>,
    {
        let Some(choice) = self.successor() else {
            return Handover::Failed;
        };
        let before = self.target.clone();
        let mut silent = pin!(silent);
        // The silent replica may run the request beside the other one.
        self.possible_runs += 1;
        let left = self.time_left().as_duration();
        let connected = tokio::select! {
            biased;
            went_on = silent.as_mut() => {
                self.possible_runs -= 1;
                self.target = before;
                return Handover::WentOn(went_on);
            }
            connected = timeout(left, self.connect(choice, resume_after)) => connected,
        };
        let mut other = match connected {
            Ok(Ok(other)) => other,
            Ok(Err(error)) => return self.stay(before, &error),
            Err(_elapsed) => {
                let failure = Failure::new(DispatchError::NotSent, "deadline exceeded");
                return self.stay(before, &AttemptError::Failed(failure));
            }
        };
        let overlap = self.overlap(&other).min(self.time_left());
        let exchanged = tokio::select! {
            biased;
            went_on = silent.as_mut() => {
                self.target = before;
                return Handover::WentOn(went_on);
            }
            exchanged = &mut other.exchange => exchanged,
            () = sleep(overlap.as_duration()) => return Handover::Taken(other),
        };
        let error = match self.accept(other.in_flight, exchanged) {
            Ok(reply) if self.is_usable(&reply) => return Handover::Answered(Box::new(reply)),
            Ok(reply) => {
                let status = reply.pending.response.status();
                reply.in_flight.end(DispatchOutcome::Failed);
                let error = DispatchError::Failed {
                    status: status.as_u16(),
                };
                AttemptError::Failed(Failure::new(error, format!("replica failed with {status}")))
            }
            Err(error) => error,
        };
        self.stay(before, &error)
    }

    /// Leaves the request at the silent replica, since the other one did not take it.
    fn stay<T>(&mut self, silent: Target, error: &AttemptError) -> Handover<T> {
        if error.is_not_run() {
            self.possible_runs -= 1;
        }
        let cause = match error {
            AttemptError::NoReplica(refusal) => refusal.label(),
            AttemptError::Failed(failure) => &failure.cause,
        };
        log::handover_failed(&self.call, &self.target.replica, cause);
        self.target = silent;
        Handover::Failed
    }

    /// Chooses the replica to which the request moves; `None` if it stays at the silent one.
    fn successor(&mut self) -> Option<Choice> {
        let now = self.shared.now();
        let choice = match self.attempts().denial_during_silence() {
            Some(denial) => Err(denial.label()),
            None => self.choose().map_err(Refusal::label),
        };
        let choice = match choice {
            Ok(_) if !self.shared.try_retry(&self.call.endpoint) => Err(Denial::Budget.label()),
            choice => choice,
        };
        let stays_for = choice.as_ref().err().copied();
        // Of the attempts that a long silence leads to, only those that end differently are logged.
        if stays_for.is_none() || stays_for != self.stays_for {
            let successor = choice.as_ref().map(|it| &*it.id).map_err(|reason| *reason);
            let silent = now.since(self.last_heard);
            log::silent(
                &self.call,
                &self.target.replica,
                silent,
                successor,
                self.time_left(),
            );
        }
        self.stays_for = stays_for;
        choice.ok()
    }

    /// How long both replicas may have the request.
    fn overlap(&self, other: &Sent) -> Millis {
        let route = self.call.route();
        if route.kind.is_stream() {
            STREAM_OVERLAP
        } else if self.attempts().denial_during_silence().is_none() {
            // A third replica may be tried after that.
            other.patience
        } else {
            self.time_left()
        }
    }

    /// Whether a response is better than waiting for the silent replica.
    fn is_usable(&self, reply: &Reply) -> bool {
        let status = reply.pending.response.status();
        if self.call.route().kind.is_stream() {
            reply.is_signed_success()
        } else {
            !status.is_server_error() && !promises_not_run(status.as_u16())
        }
    }
}
