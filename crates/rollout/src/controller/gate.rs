//! Whether the evidence on a route allows the next step.

use crate::controller::pool::PooledRoute;
use crate::{Counts, Signal};

/// Requests of each version needed since the last step.
pub const MIN_REQUESTS: u64 = 60;
/// One-sided 95% quantile of the normal distribution.
const Z: f64 = 1.645;
/// Excess over the old version's rate of failed or hung requests that must be ruled out.
const FAILED_MARGIN: f64 = 0.05;
/// Excess over the old version's rate of slow requests that must be ruled out.
const SLOW_MARGIN: f64 = 0.10;
/// Evidence in nats (natural logarithm of 10) at which a step waits for more requests.
const HOLD_EVIDENCE: f64 = 2.3;
/// Evidence in nats (natural logarithm of 20) at which the share is no longer raised by time alone.
const DOUBT_EVIDENCE: f64 = 3.0;

/// Result of the check before the next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// The new version is no worse than the old one by more than the margins.
    Open,
    /// There is not enough evidence.
    Insufficient,
    /// Most requests of the new version have not ended, while those of the old version have.
    Unfinished,
    /// The evidence is against the new version but not sufficient for a veto.
    Doubtful,
}

impl Gate {
    /// Checks a route's evidence since its last step.
    pub fn evaluate(pooled: &PooledRoute) -> Self {
        let old = pooled.sum.old.since(&pooled.baseline.old);
        let new = pooled.sum.new.since(&pooled.baseline.new);
        if pooled.evidence() >= DOUBT_EVIDENCE {
            return Self::Doubtful;
        }
        if is_mostly_unfinished(&new) && !is_mostly_unfinished(&old) {
            return Self::Unfinished;
        }
        let is_known = new.ended >= MIN_REQUESTS && old.ended >= MIN_REQUESTS;
        let is_known = is_known && pooled.evidence() < HOLD_EVIDENCE;
        let passes = is_known
            && is_no_worse(&old, &new, Signal::Failed, FAILED_MARGIN)
            && is_no_worse(&old, &new, Signal::Hung, FAILED_MARGIN)
            && is_no_worse(&old, &new, Signal::Slow, SLOW_MARGIN);
        if passes { Self::Open } else { Self::Insufficient }
    }
}

/// Whether fewer than a quarter of at least three requests have ended. The fraction is that low because just
/// after a share has doubled, half of the requests in flight are young.
const fn is_mostly_unfinished(counts: &Counts) -> bool {
    counts.started >= 3 && counts.ended * 4 < counts.started
}

fn is_no_worse(old: &Counts, new: &Counts, signal: Signal, margin: f64) -> bool {
    let old_rate = old.count(signal) as f64 / old.ended as f64;
    upper_bound(new.count(signal), new.ended) <= old_rate + margin
}

/// Upper bound of a rate by the Wilson score interval.
fn upper_bound(count: u64, requests: u64) -> f64 {
    let n = requests as f64;
    let rate = count as f64 / n;
    let spread = (rate * (1.0 - rate) / n + Z * Z / (4.0 * n * n)).sqrt();
    (rate + Z * Z / (2.0 * n) + Z * spread) / (1.0 + Z * Z / n)
}
