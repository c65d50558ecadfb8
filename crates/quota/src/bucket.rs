//! A token bucket.

use base::Millis;

/// Milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;

/// Tokens that flow in at a steady rate up to a cap, and are taken by requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    left: f64,
    at: Millis,
}

impl Bucket {
    /// A bucket with this many tokens in it.
    pub const fn new(now: Millis, tokens: f64) -> Self {
        Self {
            left: tokens,
            at: now,
        }
    }

    /// Takes tokens, or says how long until there are enough. `rate` is in tokens a second, `cap` in tokens.
    ///
    /// A request larger than the cap passes once the bucket is full.
    pub fn take(&mut self, now: Millis, tokens: f64, rate: f64, cap: f64) -> Result<(), Millis> {
        self.fill(now, rate, cap);
        let needed = tokens.min(cap);
        if self.left >= needed {
            self.left -= tokens;
            return Ok(());
        }
        let wait = (needed - self.left) / rate.max(f64::MIN_POSITIVE) * SECOND_MS;
        Err(Millis(wait.ceil() as u64))
    }

    /// Gives back tokens of a request that did not run.
    pub fn give_back(&mut self, tokens: f64, cap: f64) {
        self.left = (self.left + tokens).min(cap);
    }

    fn fill(&mut self, now: Millis, rate: f64, cap: f64) {
        let span = now.since(self.at).0 as f64 / SECOND_MS;
        self.left = rate.mul_add(span, self.left).min(cap);
        self.at = self.at.max(now);
    }
}
