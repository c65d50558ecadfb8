//! Ejection of replicas that fail more than the others, and their way back.

use base::Millis;

/// Weight of a new outcome in the moving part of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Outcomes before the part of failures says anything.
const MIN_OUTCOMES: u32 = 5;
/// A replica is an outlier with this part of failures above the pool's.
const OUTLIER_MARGIN: f64 = 0.3;
/// Failures in a row that eject a replica whatever the others do.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// First ejection; doubles with each one in a row.
const FIRST_EJECTION: Millis = Millis(1_000);
/// Most doublings of an ejection.
const MAX_DOUBLINGS: u32 = 3;

/// Outcomes of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Moving part of dispatches that failed.
    failure_rate: f64,
    outcomes: u32,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    /// Whether a trial dispatch is under way after an ejection.
    is_probing: bool,
    /// Whether the last ejection was for want of a connection.
    is_unreachable: bool,
}

impl Health {
    /// Moving part of dispatches that failed.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the replica takes requests: not ejected, and no trial under way.
    pub fn accepts_requests(&self, now: Millis) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && !self.is_probing)
    }

    /// A dispatch was sent.
    pub const fn record_send(&mut self) {
        if self.ejected_until.is_some() {
            self.is_probing = true;
        }
    }

    /// A dispatch ended without saying anything about the replica.
    pub const fn record_neutral(&mut self) {
        self.is_probing = false;
    }

    /// A dispatch succeeded.
    pub fn record_success(&mut self) {
        self.record(0.0);
        self.consecutive_failures = 0;
        if self.is_probing || self.ejected_until.is_some() {
            self.is_unreachable = false;
            self.ejected_until = None;
            self.is_probing = false;
            self.failure_rate = 0.0;
            self.outcomes = 0;
        }
        if self.outcomes >= 4 * MIN_OUTCOMES && self.failure_rate < OUTLIER_MARGIN / 4.0 {
            self.ejections = 0;
        }
    }

    /// A dispatch failed; `usual` is the moving part of failures of the other replicas.
    pub fn record_failure(&mut self, now: Millis, others_failure_rate: f64) {
        self.record(1.0);
        self.consecutive_failures += 1;
        let is_outlier =
            self.outcomes >= MIN_OUTCOMES && self.failure_rate > others_failure_rate + OUTLIER_MARGIN;
        // Where every replica fails often, runs of failures are chance.
        let is_down =
            self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES && others_failure_rate < OUTLIER_MARGIN;
        if is_outlier || is_down || self.is_probing {
            self.eject(now);
        }
    }

    /// There was no connection: takes the replica out for a while.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.eject(now);
        self.is_unreachable = true;
    }

    /// Whether it is out for want of a connection.
    pub fn is_unreachable(&self, now: Millis) -> bool {
        self.is_unreachable && self.ejected_until.is_some_and(|until| now < until)
    }

    fn eject(&mut self, now: Millis) {
        self.is_unreachable = false;
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now + Millis(FIRST_EJECTION.0 << doublings));
        self.ejections += 1;
        self.is_probing = false;
    }

    fn record(&mut self, outcome: f64) {
        self.failure_rate += OUTCOME_WEIGHT * (outcome - self.failure_rate);
        self.outcomes = self.outcomes.saturating_add(1);
    }
}
