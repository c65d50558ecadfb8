//! A token bucket.

use base::Millis;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Refill rate and capacity of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refill {
    /// Tokens added per second.
    pub rate: f64,
    /// Maximum number of tokens in the bucket.
    pub capacity: f64,
}

/// A token bucket whose balance may become negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    updated_at: Millis,
}

impl Bucket {
    /// Creates a bucket with an initial number of tokens.
    pub const fn new(now: Millis, tokens: f64) -> Self {
        Self {
            tokens,
            updated_at: now,
        }
    }

    /// Returns the time until a request may take tokens; zero if it may now.
    ///
    /// A request passes as soon as the balance is positive and may overdraw it, so that a large request waits no longer
    /// than a small one.
    pub fn wait_time(&mut self, now: Millis, refill: Refill) -> Millis {
        self.add_refill(now, refill);
        if self.tokens > 0.0 {
            return Millis::ZERO;
        }
        let wait_ms = -self.tokens / refill.rate.max(f64::MIN_POSITIVE) * MILLIS_PER_SECOND;
        Millis(wait_ms.ceil().max(1.0) as u64)
    }

    /// The balance as of the last call.
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes tokens; the balance becomes negative if there are too few.
    pub fn debit(&mut self, now: Millis, tokens: f64, refill: Refill) {
        self.add_refill(now, refill);
        self.tokens -= tokens;
    }

    /// Returns the tokens of a request that did not run.
    pub const fn refund(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Adds nothing for the time until now, which is returned.
    pub fn hold(&mut self, now: Millis) -> Millis {
        let held = now.since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        held
    }

    fn add_refill(&mut self, now: Millis, refill: Refill) {
        let elapsed_s = now.since(self.updated_at).0 as f64 / MILLIS_PER_SECOND;
        self.tokens = refill.rate.mul_add(elapsed_s, self.tokens).min(refill.capacity);
        self.updated_at = self.updated_at.max(now);
    }
}
