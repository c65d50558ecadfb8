//! Fast rollouts, which must be done within seconds.
//!
//! Load pattern: an operator allows about ten seconds, so that only a few dozen requests can show whether the
//! new version is good. The new version gets a small share for about half of that time. If its requests fail
//! clearly more often or are clearly slower than those of the old version, the rollout is undone. Otherwise
//! all traffic moves, and the new version is watched for the rest of the time.

use base::Millis;
use serde::{Deserialize, Serialize};

/// Fraction of the time allowed during which the new version has only its canary share.
const CANARY_FRACTION: f64 = 0.55;
/// Fraction of the time allowed after which all traffic moves even if only a few requests have ended.
const LATEST_MOVE_FRACTION: f64 = 0.75;
/// Requests of the new version that are enough for a judgement in its favor.
const ENOUGH_REQUESTS: u64 = 10;
/// Requests of the new version without which no traffic is moved.
const MIN_REQUESTS: u64 = 3;
/// Fraction of the answers expected of the new version, by those of the old one and the shares of both, below which it does
/// not count as answering. Answers to the last requests are still to come.
const MIN_ANSWERED: f64 = 0.25;
/// Time at full share before the rollout is done.
const WATCH_TIME: Millis = Millis(2_500);
/// Time until the answers at all nodes are known.
const REPORT_DELAY: Millis = Millis(1_500);
/// Time before the deadline at which a decision is made in any case.
const DECISION_MARGIN: Millis = Millis(700);
/// Failures of the new version that are attributed to chance.
const TOLERATED_FAILURES: u64 = 2;
/// Excess over the old version's failure rate above which the new version is failing.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.08;
/// Requests with a latency needed on each side to compare latencies.
const MIN_LATENCIES: u64 = 6;
/// Ratio of the geometric mean latencies above which the new version is slow.
const MAX_SLOWDOWN: f64 = 2.0;

/// Counters of the ended requests of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ended.
    pub ended: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose answer has begun.
    pub timed: u64,
    /// Sum of the natural logarithms of the latencies in milliseconds.
    pub log_ms: f64,
}

impl Tally {
    /// Records that an answer, or the first event of a stream, has arrived. Streams last for seconds: if this waited for
    /// their ends, a slow version would not be noticed before most of its time is over.
    pub fn record_answer(&mut self, latency: Millis) {
        self.timed += 1;
        self.log_ms += (latency.0.max(1) as f64).ln();
    }

    /// Records the end of a request.
    pub const fn record_end(&mut self, failed: bool) {
        self.ended += 1;
        self.failed += failed as u64;
    }

    /// Adds the counters of another node.
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

/// Result of comparing the two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// The new version fails clearly more often than the old one.
    Failing,
    /// The new version is clearly slower than the old one.
    Slow,
    /// The new version served enough requests and is not worse.
    Good,
    /// There are not enough requests yet.
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

    /// Whether the new version must get no more requests.
    pub const fn is_bad(self) -> bool {
        matches!(self, Self::Failing | Self::Slow)
    }

    /// Text used in logs and stored records.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Failing => "fails more often than the old version",
            Self::Slow => "slower than the old version",
            Self::Good => "no worse than the old version",
            Self::Inconclusive => "little known",
        }
    }
}

/// Phase of a fast rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The new version has its canary share.
    Canary,
    /// All traffic goes to the new version.
    Moved {
        /// For how long.
        since: Millis,
        /// Answers of the new version that had begun before.
        answered_before: u64,
    },
}

/// What is known of the requests of both versions since the rollout began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// Outcomes at the old version.
    pub old: Tally,
    /// Outcomes at the new version.
    pub new: Tally,
    /// Share of the requests that the new version receives in the canary phase.
    pub share: f64,
    /// Whether the old version has no requests in flight.
    pub is_drained: bool,
}

impl Evidence {
    /// Compares the versions.
    pub fn judgement(&self) -> Judgement {
        Judgement::compare(&self.old, &self.new)
    }

    /// Whether the new version answers its share of the requests. One that answers few of them must not be taken for good
    /// because none of these failed.
    fn is_answering(&self, phase: Phase, elapsed: Millis) -> bool {
        let (answered, expected) = match phase {
            Phase::Canary => {
                let ratio = self.share / (1.0 - self.share).max(f64::MIN_POSITIVE);
                (self.new.timed, self.old.timed as f64 * ratio)
            }
            Phase::Moved {
                since,
                answered_before,
            } => {
                let per_ms = (self.old.timed + answered_before) as f64 / elapsed.since(since).0.max(1) as f64;
                let answered = self.new.timed.saturating_sub(answered_before);
                (answered, per_ms * since.since(REPORT_DELAY).0 as f64)
            }
        };
        answered as f64 >= expected * MIN_ANSWERED
    }
}

/// Decision on the next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing for now.
    Wait,
    /// Send all traffic to the new version.
    Move,
    /// End the rollout as done.
    Finish,
    /// Undo the rollout.
    Undo,
}

/// Returns the next step of a rollout that began `elapsed` ago and may take `within`.
pub fn next(phase: Phase, elapsed: Millis, within: Millis, evidence: &Evidence) -> Step {
    let judgement = evidence.judgement();
    if judgement.is_bad() {
        return Step::Undo;
    }
    let elapsed_fraction = elapsed.0 as f64 / within.0.max(1) as f64;
    let is_due = elapsed + DECISION_MARGIN >= within;
    let is_answering = evidence.is_answering(phase, elapsed);
    match phase {
        Phase::Canary if is_answering && has_enough(judgement, evidence, elapsed_fraction) => Step::Move,
        Phase::Moved { since, .. } if is_answering && (is_due || is_watched(since, evidence)) => Step::Finish,
        // The replicas of the new version did not start, or do not answer.
        Phase::Canary | Phase::Moved { .. } if is_due => Step::Undo,
        Phase::Canary | Phase::Moved { .. } => Step::Wait,
    }
}

fn has_enough(judgement: Judgement, evidence: &Evidence, elapsed_fraction: f64) -> bool {
    let is_good = judgement == Judgement::Good && elapsed_fraction >= CANARY_FRACTION;
    let is_late = evidence.new.ended >= MIN_REQUESTS && elapsed_fraction >= LATEST_MOVE_FRACTION;
    is_good || is_late
}

fn is_watched(since: Millis, evidence: &Evidence) -> bool {
    since >= WATCH_TIME && evidence.is_drained
}
