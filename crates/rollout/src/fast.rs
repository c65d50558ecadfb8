//! Moves that must be done within seconds.
//!
//! Load pattern: an operator allows some ten seconds for a move, so that only a few dozen requests can say whether the
//! new version is good. It gets a small share until the middle of the time; one whose requests fail or are slow clearly
//! more often than the old version's is taken back; otherwise everything moves, and the rest of the time is watched.

use base::Millis;
use serde::{Deserialize, Serialize};

/// Part of the time allowed that the new version has only its small share.
const CANARY_FRACTION: f64 = 0.55;
/// Part of the time allowed by which a move that is to be done has begun.
const LATEST_MOVE_FRACTION: f64 = 0.75;
/// Requests of the new version that are enough to move on.
const ENOUGH_REQUESTS: u64 = 10;
/// Requests without which nothing is moved.
const MIN_REQUESTS: u64 = 3;
/// Time at full share before the move is done.
const WATCH_TIME: Millis = Millis(1_500);
/// Time before the end of the time allowed at which a decision is taken in any case.
const DECISION_MARGIN: Millis = Millis(700);
/// Failures of the new version that may be chance.
const TOLERATED_FAILURES: u64 = 2;
/// Part of failures above the old version's that is not tolerated.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.08;
/// Requests on each side before latencies are compared.
const MIN_LATENCIES: u64 = 6;
/// Factor between the typical latencies that is not tolerated.
const MAX_SLOWDOWN: f64 = 2.0;

/// Ends of requests at one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ended.
    pub ended: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests with a latency.
    pub timed: u64,
    /// Sum of the natural logarithms of the latencies in milliseconds.
    pub log_ms: f64,
}

impl Tally {
    /// Counts one end; the latency is that of the answer or its first event.
    pub fn record(&mut self, failed: bool, latency: Option<Millis>) {
        self.ended += 1;
        self.failed += u64::from(failed);
        if let Some(latency) = latency {
            self.timed += 1;
            self.log_ms += (latency.0.max(1) as f64).ln();
        }
    }

    /// Adds the ends of another node.
    pub fn add(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        self.timed += other.timed;
        self.log_ms += other.log_ms;
    }

    fn failure_rate(&self) -> f64 {
        self.failed as f64 / self.ended.max(1) as f64
    }

    fn geometric_mean_ms(&self) -> Option<f64> {
        (self.timed >= MIN_LATENCIES).then(|| (self.log_ms / self.timed as f64).exp())
    }
}

/// What the ends at both versions say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// The new version fails clearly more often.
    Failing,
    /// The new version is clearly slower.
    Slow,
    /// Nothing speaks against it, and it served enough requests.
    Good,
    /// Too little is known.
    Inconclusive,
}

impl Judgement {
    /// Compares the versions.
    pub fn compare(old: &Tally, new: &Tally) -> Self {
        let excess = new.failure_rate() - old.failure_rate();
        if new.failed > TOLERATED_FAILURES && excess > MAX_EXCESS_FAILURE_RATE {
            return Self::Failing;
        }
        if let (Some(old_ms), Some(new_ms)) = (old.geometric_mean_ms(), new.geometric_mean_ms())
            && new_ms > MAX_SLOWDOWN * old_ms
        {
            return Self::Slow;
        }
        if new.ended >= ENOUGH_REQUESTS {
            Self::Good
        } else {
            Self::Inconclusive
        }
    }

    /// Whether the new version must get nothing more.
    pub const fn is_bad(self) -> bool {
        matches!(self, Self::Failing | Self::Slow)
    }

    /// Label in logs and records.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Failing => "fails more often than the old version",
            Self::Slow => "slower than the old version",
            Self::Good => "no worse than the old version",
            Self::Inconclusive => "little known",
        }
    }
}

/// Where a move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The new version has its small share.
    Canary,
    /// Everything goes to the new version, for this long.
    Moved(Millis),
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Send everything to the new version.
    Move,
    /// The move is done.
    Finish,
    /// Take the move back.
    Undo,
}

/// The next step of a move that is `elapsed` old and may take `within`. `is_drained` says that the old version has no
/// request in flight any more.
pub fn next(
    phase: Phase,
    elapsed: Millis,
    within: Millis,
    judgement: Judgement,
    new: &Tally,
    is_drained: bool,
) -> Step {
    if judgement.is_bad() {
        return Step::Undo;
    }
    let elapsed_fraction = elapsed.0 as f64 / within.0.max(1) as f64;
    let is_due = elapsed + DECISION_MARGIN >= within;
    match phase {
        Phase::Canary if judgement == Judgement::Good && elapsed_fraction >= CANARY_FRACTION => Step::Move,
        Phase::Canary if new.ended >= MIN_REQUESTS && elapsed_fraction >= LATEST_MOVE_FRACTION => Step::Move,
        // Its replicas did not come up, or got no requests.
        Phase::Canary if is_due => Step::Undo,
        Phase::Moved(watched) if is_due || (watched >= WATCH_TIME && is_drained) => Step::Finish,
        Phase::Canary | Phase::Moved(_) => Step::Wait,
    }
}
