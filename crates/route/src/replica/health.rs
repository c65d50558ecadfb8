//! Ejection of replicas that keep failing, and their probing afterwards.

use base::Millis;

/// Failures in a row that eject a replica.
const FAILURES: u8 = 5;
/// First time out; it doubles with each ejection in a row.
const FIRST_EJECTION: Millis = Millis(2_000);
/// Most doublings of the time out.
const MOST_DOUBLINGS: u8 = 5;

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
    failures: u8,
    ejections: u8,
}

impl Health {
    pub const fn state(self) -> State {
        self.state
    }

    /// An answer came: the replica works.
    pub const fn succeed(&mut self) {
        self.failures = 0;
        if matches!(self.state, State::HalfOpen) {
            self.state = State::Closed;
            self.ejections = 0;
        }
    }

    /// A dispatch failed; whether the replica should be ejected.
    pub const fn fail(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        match self.state {
            State::Closed => self.failures >= FAILURES,
            State::HalfOpen => true,
            State::Ejected => false,
        }
    }

    /// Ejects the replica and says for how long.
    pub fn eject(&mut self) -> Millis {
        let span = Millis(FIRST_EJECTION.0 << self.ejections);
        self.ejections = (self.ejections + 1).min(MOST_DOUBLINGS);
        self.state = State::Ejected;
        span
    }

    /// The time out is over.
    pub const fn probe(&mut self) {
        if matches!(self.state, State::Ejected) {
            self.state = State::HalfOpen;
        }
    }
}
