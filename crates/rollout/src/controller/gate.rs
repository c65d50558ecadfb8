//! Whether the evidence on a route allows the next step.

use crate::controller::pool::Pooled;
use crate::{Counts, Signal};

/// Requests of the new version needed since the last step.
pub const ENOUGH: u64 = 60;
/// One-sided 95% quantile of the normal distribution.
const Z: f64 = 1.645;
/// A failure rate this much above the old version's must be ruled out.
const FAILED_MARGIN: f64 = 0.05;
/// A share of slow requests this much above the old version's must be ruled out.
const SLOW_MARGIN: f64 = 0.10;
/// Evidence in nats (natural logarithm of 10) at which a step waits for more requests.
const WAIT_AT: f64 = 2.3;
/// Evidence in nats (natural logarithm of 20) at which time alone moves nothing on.
const DOUBT_AT: f64 = 3.0;

/// What the evidence says of the next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// The new version is no worse than the old one by more than the margins.
    Open,
    /// Too little is known.
    Thin,
    /// Most requests of the new version have not ended, though those of the old one have.
    Waiting,
    /// The evidence speaks against the version, without being sufficient.
    Doubtful,
}

impl Gate {
    /// The gate for a route's evidence since its last step.
    pub fn of(pooled: &Pooled) -> Self {
        let old = pooled.sum.old.since(&pooled.base.old);
        let new = pooled.sum.new.since(&pooled.base.new);
        if pooled.evidence() >= DOUBT_AT {
            return Self::Doubtful;
        }
        if do_not_end(&new) && !do_not_end(&old) {
            return Self::Waiting;
        }
        let known = new.ended >= ENOUGH && old.ended >= ENOUGH;
        let known = known && pooled.evidence() < WAIT_AT;
        let no_worse = known
            && is_no_worse(&old, &new, Signal::Failed, FAILED_MARGIN)
            && is_no_worse(&old, &new, Signal::Hung, FAILED_MARGIN)
            && is_no_worse(&old, &new, Signal::Slow, SLOW_MARGIN);
        if no_worse { Self::Open } else { Self::Thin }
    }
}

/// Whether fewer than a quarter of at least three requests have ended; just after a share has doubled, half of
/// those in flight are young.
const fn do_not_end(counts: &Counts) -> bool {
    counts.started >= 3 && counts.ended * 4 < counts.started
}

fn is_no_worse(old: &Counts, new: &Counts, signal: Signal, margin: f64) -> bool {
    let usual = old.count(signal) as f64 / old.ended as f64;
    upper(new.count(signal), new.ended) <= usual + margin
}

/// Upper bound of a rate by Wilson's score interval.
fn upper(shown: u64, requests: u64) -> f64 {
    let n = requests as f64;
    let rate = shown as f64 / n;
    let spread = (rate * (1.0 - rate) / n + Z * Z / (4.0 * n * n)).sqrt();
    (rate + Z * Z / (2.0 * n) + Z * spread) / (1.0 + Z * Z / n)
}
