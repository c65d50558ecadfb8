//! Ejection of replicas after consecutive failures, and probing before they are used again.

use base::Millis;

/// Consecutive failures after which a replica is ejected.
const EJECTION_THRESHOLD: u8 = 5;
/// Duration of the first ejection; it doubles with each consecutive one.
const BASE_EJECTION_TIME: Millis = Millis(2_000);
/// Maximum number of doublings of the ejection duration.
const MAX_DOUBLINGS: u8 = 5;

/// Circuit breaker state of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// The replica gets requests.
    #[default]
    Closed,
    /// The replica gets one request at a time as a probe.
    HalfOpen,
    /// The replica gets no requests.
    Ejected,
}

/// Circuit breaker of a replica.
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

    /// Records a response, which also ends probing.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        if matches!(self.state, State::HalfOpen) {
            self.state = State::Closed;
            self.consecutive_ejections = 0;
        }
    }

    /// Records a failed dispatch; returns whether the replica should be ejected.
    pub const fn record_failure(&mut self) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        match self.state {
            State::Closed => self.consecutive_failures >= EJECTION_THRESHOLD,
            State::HalfOpen => true,
            State::Ejected => false,
        }
    }

    /// Ejects the replica; returns the duration of the ejection.
    pub fn eject(&mut self) -> Millis {
        let duration = Millis(BASE_EJECTION_TIME.0 << self.consecutive_ejections);
        self.consecutive_ejections = (self.consecutive_ejections + 1).min(MAX_DOUBLINGS);
        self.state = State::Ejected;
        duration
    }

    /// Starts probing when the ejection has ended.
    pub const fn start_probing(&mut self) {
        if matches!(self.state, State::Ejected) {
            self.state = State::HalfOpen;
        }
    }
}
