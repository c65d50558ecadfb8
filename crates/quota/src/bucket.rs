//! A token bucket.

use base::Millis;

/// Milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;

/// Rate and cap of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// Tokens a second.
    pub rate: f64,
    /// Most tokens that can be saved up.
    pub cap: f64,
}

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

    /// How long until a request may take tokens; zero if it may.
    ///
    /// One passes as soon as anything is left and owes what is missing, so that a large request waits no longer than a
    /// small one.
    pub fn wait(&mut self, now: Millis, flow: Flow) -> Millis {
        self.fill(now, flow);
        if self.left > 0.0 {
            return Millis::ZERO;
        }
        let wait_ms = -self.left / flow.rate.max(f64::MIN_POSITIVE) * SECOND_MS;
        Millis(wait_ms.ceil().max(1.0) as u64)
    }

    /// Takes tokens, also if there are too few: then they are owed.
    pub fn take(&mut self, now: Millis, tokens: f64, flow: Flow) {
        self.fill(now, flow);
        self.left -= tokens;
    }

    /// Gives back tokens of a request that did not run.
    pub const fn give_back(&mut self, tokens: f64) {
        self.left += tokens;
    }

    fn fill(&mut self, now: Millis, flow: Flow) {
        let span = now.since(self.at).0 as f64 / SECOND_MS;
        self.left = flow.rate.mul_add(span, self.left).min(flow.cap);
        self.at = self.at.max(now);
    }
}
