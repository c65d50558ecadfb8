//! Ejection of replicas that fail more than the others, and their way back.

use base::Millis;

/// Weight of a new outcome in the moving part of failures.
const WEIGHT: f64 = 0.15;
/// Outcomes before the part of failures says anything.
const LEAST_OUTCOMES: u32 = 5;
/// A replica is an outlier with this part of failures above the pool's.
const OUTLIER: f64 = 0.3;
/// Failures in a row that eject a replica whatever the others do.
const IN_A_ROW: u32 = 3;
/// First ejection; doubles with each one in a row.
const FIRST_EJECTION: Millis = Millis(1_000);
/// Most doublings of an ejection.
const MOST_DOUBLINGS: u32 = 3;

/// Outcomes of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Moving part of dispatches that failed.
    failing: f64,
    outcomes: u32,
    in_a_row: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    /// Whether a trial dispatch is under way after an ejection.
    on_trial: bool,
    /// Whether the last ejection was for want of a connection.
    is_unreachable: bool,
}

impl Health {
    /// Moving part of dispatches that failed.
    pub const fn failing(&self) -> f64 {
        self.failing
    }

    /// Whether the replica takes requests: not ejected, and no trial under way.
    pub fn is_open(&self, now: Millis) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && !self.on_trial)
    }

    /// A dispatch was sent.
    pub const fn sent(&mut self) {
        if self.ejected_until.is_some() {
            self.on_trial = true;
        }
    }

    /// A dispatch ended without saying anything about the replica.
    pub const fn neutral(&mut self) {
        self.on_trial = false;
    }

    /// A dispatch succeeded.
    pub fn succeed(&mut self) {
        self.note(0.0);
        self.in_a_row = 0;
        if self.on_trial || self.ejected_until.is_some() {
            self.is_unreachable = false;
            self.ejected_until = None;
            self.on_trial = false;
            self.failing = 0.0;
            self.outcomes = 0;
        }
        if self.outcomes >= 4 * LEAST_OUTCOMES && self.failing < OUTLIER / 4.0 {
            self.ejections = 0;
        }
    }

    /// A dispatch failed; `usual` is the moving part of failures of the other replicas.
    pub fn fail(&mut self, now: Millis, usual: f64) {
        self.note(1.0);
        self.in_a_row += 1;
        let is_outlier = self.outcomes >= LEAST_OUTCOMES && self.failing > usual + OUTLIER;
        // Where every replica fails often, runs of failures are chance.
        let is_dead = self.in_a_row >= IN_A_ROW && usual < OUTLIER;
        if is_outlier || is_dead || self.on_trial {
            self.eject(now);
        }
    }

    /// There was no connection: takes the replica out for a while.
    pub fn lose(&mut self, now: Millis) {
        self.eject(now);
        self.is_unreachable = true;
    }

    /// Whether it is out for want of a connection.
    pub fn is_unreachable(&self, now: Millis) -> bool {
        self.is_unreachable && self.ejected_until.is_some_and(|until| now < until)
    }

    fn eject(&mut self, now: Millis) {
        self.is_unreachable = false;
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        self.ejected_until = Some(now + Millis(FIRST_EJECTION.0 << doublings));
        self.ejections += 1;
        self.on_trial = false;
    }

    fn note(&mut self, outcome: f64) {
        self.failing += WEIGHT * (outcome - self.failing);
        self.outcomes = self.outcomes.saturating_add(1);
    }
}
