//! Tries another replica beside silent ones. A silent replica is left only once another one has taken the request.

use base::Millis;
use place::{Denial, DispatchOutcome, Refusal};

use super::attempt::Failure;
use super::dispatch::Dispatch;
use super::in_flight::InFlight;
use super::log;
use super::pick::Pick;

/// Interval between attempts to find another replica during a long silence.
pub(super) const RETRY_INTERVAL: Millis = Millis(250);
/// Time for another replica to refuse a stream. The silent replica must not run it for much longer than that beside the
/// other one.
const STREAM_OVERLAP: Millis = Millis(300);

impl Dispatch {
    /// Sends the request to another replica, if one may be tried, beside those that have it and are silent. Returns how long
    /// to wait then.
    pub fn hedge(&mut self, resume_after: Option<u64>) -> Millis {
        for sent in &self.sent {
            sent.in_flight.record_silence();
        }
        let Some(pick) = self.successor() else {
            return RETRY_INTERVAL;
        };
        self.send(&pick, resume_after);
        if self.call.route().kind.is_stream() {
            self.overlap_ends = Some(self.shared.now() + STREAM_OVERLAP);
        }
        self.sent.last().map_or(RETRY_INTERVAL, |sent| sent.patience)
    }

    /// Time for which both replicas may have the stream; `None` if only one has it.
    pub fn overlap_left(&self) -> Option<Millis> {
        let ends = self.overlap_ends.filter(|_| self.in_flight() > 1)?;
        Some(ends.since(self.shared.now()))
    }

    /// Leaves a silent replica, which may have run the request. It may be chosen again.
    pub fn leave(&mut self, silent: InFlight, cause: &str) {
        self.possible_runs += 1;
        let key = silent.choice().replica;
        self.tried.retain(|tried| *tried != key);
        silent.end(DispatchOutcome::Failed);
        cause.clone_into(&mut self.cause);
    }

    /// Leaves all replicas that have not answered, since one has.
    pub fn leave_others(&mut self) {
        for sent in std::mem::take(&mut self.sent) {
            self.leave(sent.in_flight, "response timed out");
        }
    }

    /// Gives up the replicas that were tried beside a silent one, since that one goes on.
    pub fn cancel_hedges(&mut self) {
        for sent in self.sent.drain(..) {
            self.possible_runs += 1;
            sent.in_flight.end(DispatchOutcome::Cancelled);
        }
    }

    /// Records the failure of a replica while others have the request.
    pub fn record_lost_hedge(&mut self, failure: &Failure) {
        self.count_failure(failure);
        self.log_failed(failure, None);
    }

    fn successor(&mut self) -> Option<Pick> {
        let now = self.shared.now();
        let pick = match self.attempts().denial_during_silence() {
            Some(denial) => Err(denial.label()),
            None if !self.may_repeat() => Err(Denial::Poison.label()),
            None => self.choose().map_err(Refusal::label),
        };
        let pick = match pick {
            Ok(_) if !self.shared.try_retry(&self.call.endpoint) => Err(Denial::Budget.label()),
            pick => pick,
        };
        let stays_for = pick.as_ref().err().copied();
        // Of the attempts that a long silence leads to, only those that end differently are logged.
        if stays_for.is_none() || stays_for != self.stays_for {
            let successor = pick.as_ref().map(|it| &*it.choice.id).map_err(|reason| *reason);
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
        pick.ok()
    }
}
