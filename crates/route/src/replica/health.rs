//! Ejection of replicas that keep failing, and their probing afterwards.

use base::Millis;

/// Failures in a row that eject a replica.
const EJECTION_THRESHOLD: u8 = 5;
/// First time out; it doubles with each ejection in a row.
const BASE_EJECTION_TIME: Millis = Millis(2_000);
/// Most doublings of the time out.
const MAX_DOUBLINGS: u8 = 5;

/// Whether a replica takes requests, by its failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// It takes requests.
    #[default]
    Closed,
    /// It takes one request at a time, to see whether it works again.
    HalfOpen,
    /// It takes none.
    Ejected,
}

/// Failures in a row and ejections in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    state: State,
    consecutive_failures: u8,
    consecutive_ejections: u8,
}

impl Health {
    pub const fn state(self) -> State {
        self.state
    }

    /// An answer came: the replica works.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        if matches!(self.state, State::HalfOpen) {
            self.state = State::Closed;
            self.consecutive_ejections = 0;
        }
    }

    /// A dispatch failed; whether the replica should be ejected.
    pub const fn record_failure(&mut self) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        match self.state {
            State::Closed => self.consecutive_failures >= EJECTION_THRESHOLD,
            State::HalfOpen => true,
            State::Ejected => false,
        }
    }

    /// Ejects the replica and says for how long.
    pub fn eject(&mut self) -> Millis {
        let duration = Millis(BASE_EJECTION_TIME.0 << self.consecutive_ejections);
        self.consecutive_ejections = (self.consecutive_ejections + 1).min(MAX_DOUBLINGS);
        self.state = State::Ejected;
        duration
    }

    /// The time out is over.
    pub const fn start_probing(&mut self) {
        if matches!(self.state, State::Ejected) {
            self.state = State::HalfOpen;
        }
    }
}
