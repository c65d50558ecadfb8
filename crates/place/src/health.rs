//! Ejection of replicas that fail more often than the others, and their readmission.

use base::Millis;

/// Weight of a new outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Minimum number of outcomes before the failure rate is considered.
const MIN_OUTCOMES: u32 = 5;
/// Difference to the failure rate of the other replicas above which a replica is an outlier.
const OUTLIER_MARGIN: f64 = 0.3;
/// Number of consecutive failures that eject a replica even if its failure rate is no outlier.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each further one until the replica is healthy again.
const FIRST_EJECTION: Millis = Millis(1_000);
/// Maximum number of doublings of the duration.
const MAX_DOUBLINGS: u32 = 3;

/// Outcomes of the dispatches to one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Moving average of the share of failed dispatches.
    failure_rate: f64,
    outcomes: u32,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    /// Whether a probe dispatch is in flight after an ejection.
    is_probing: bool,
    /// Whether the last ejection was due to a failed connection.
    is_unreachable: bool,
}

impl Health {
    /// Returns the moving average of the share of failed dispatches.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns whether the replica may receive requests: it was not ejected, or its ejection is over and no probe is in
    /// flight.
    pub fn accepts_requests(&self, now: Millis) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && !self.is_probing)
    }

    /// Records that a dispatch was sent; the first one after an ejection is the probe.
    pub const fn record_send(&mut self) {
        if self.ejected_until.is_some() {
            self.is_probing = true;
        }
    }

    /// Records a dispatch whose end says nothing about the replica's health.
    pub const fn record_neutral(&mut self) {
        self.is_probing = false;
    }

    /// Records a successful dispatch, which readmits an ejected replica.
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

    /// Records a failed dispatch, given the mean failure rate of the other replicas.
    pub fn record_failure(&mut self, now: Millis, others_failure_rate: f64) {
        self.record(1.0);
        self.consecutive_failures += 1;
        let is_outlier =
            self.outcomes >= MIN_OUTCOMES && self.failure_rate > others_failure_rate + OUTLIER_MARGIN;
        // If all replicas fail often, consecutive failures occur by chance.
        let is_down =
            self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES && others_failure_rate < OUTLIER_MARGIN;
        if is_outlier || is_down || self.is_probing {
            self.eject(now);
        }
    }

    /// Records a failed connection and ejects the replica.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.eject(now);
        self.is_unreachable = true;
    }

    /// Readmits the replica: what failed says nothing of it.
    pub const fn readmit(&mut self) {
        self.ejected_until = None;
        self.consecutive_failures = 0;
        self.is_probing = false;
        self.is_unreachable = false;
    }

    /// Returns whether the replica is ejected because of a failed connection.
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
