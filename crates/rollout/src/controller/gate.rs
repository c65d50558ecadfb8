//! Whether the evidence on a route allows the next step.

use crate::controller::pool::PooledRoute;
use crate::{Counts, Signal};

/// Requests of the new version needed since the last step.
pub const MIN_REQUESTS: u64 = 60;
/// One-sided 95% quantile of the normal distribution.
const Z: f64 = 1.645;
/// A failure rate this much above the old version's must be ruled out.
const FAILED_MARGIN: f64 = 0.05;
/// A share of slow requests this much above the old version's must be ruled out.
const SLOW_MARGIN: f64 = 0.10;
/// Evidence in nats (natural logarithm of 10) at which a step waits for more requests.
const HOLD_EVIDENCE: f64 = 2.3;
/// Evidence in nats (natural logarithm of 20) at which time alone moves nothing on.
const DOUBT_EVIDENCE: f64 = 3.0;

/// What the evidence says of the next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// The new version is no worse than the old one by more than the margins.
    Open,
    /// Too little is known.
    Insufficient,
    /// Most requests of the new version have not ended, though those of the old one have.
    Unfinished,
    /// The evidence speaks against the version, without being sufficient.
    Doubtful,
}

impl Gate {
    /// The gate for a route's evidence since its last step.
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

/// Whether fewer than a quarter of at least three requests have ended; just after a share has doubled, half of
/// those in flight are young.
const fn is_mostly_unfinished(counts: &Counts) -> bool {
    counts.started >= 3 && counts.ended * 4 < counts.started
}

fn is_no_worse(old: &Counts, new: &Counts, signal: Signal, margin: f64) -> bool {
    let old_rate = old.count(signal) as f64 / old.ended as f64;
    upper_bound(new.count(signal), new.ended) <= old_rate + margin
}

/// Upper bound of a rate by Wilson's score interval.
fn upper_bound(count: u64, requests: u64) -> f64 {
    let n = requests as f64;
    let rate = count as f64 / n;
    let spread = (rate * (1.0 - rate) / n + Z * Z / (4.0 * n * n)).sqrt();
    (rate + Z * Z / (2.0 * n) + Z * spread) / (1.0 + Z * Z / n)
}
