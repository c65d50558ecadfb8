//! Token bucket with a burst of one second's worth of calls.

use base::Millis;

/// Tokens per call. A token is a thousandth of a call, so that millisecond refills are whole numbers.
const CALL_COST: u64 = 1_000;

/// Rate limiter for one kind of call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limiter {
    tokens: u64,
    refilled_at: Millis,
    per_s: u32,
}

impl Limiter {
    /// Admits one call at a rate of `per_s` calls per second; zero means unlimited.
    /// Returns false if the rate is exceeded.
    pub fn admit(&mut self, now: Millis, per_s: u32) -> bool {
        if per_s == 0 {
            return true;
        }
        let burst = u64::from(per_s) * CALL_COST;
        if self.per_s != per_s {
            self.per_s = per_s;
            self.tokens = burst;
            self.refilled_at = now;
        }
        let refill = now.since(self.refilled_at).0 * u64::from(per_s);
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        if self.tokens < CALL_COST {
            return false;
        }
        self.tokens -= CALL_COST;
        true
    }
}
