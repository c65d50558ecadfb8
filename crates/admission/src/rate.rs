//! Moving averages of token rates.

use base::Millis;

/// A rate in tokens per millisecond, averaged with exponentially decreasing weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    window_ms: f64,
    mean: f64,
    updated_at: Millis,
}

impl Rate {
    /// Creates a rate of zero that is averaged over about `window_ms`.
    pub const fn new(since: Millis, window_ms: f64) -> Self {
        Self {
            window_ms,
            mean: 0.0,
            updated_at: since,
        }
    }

    /// Adds tokens.
    pub fn add(&mut self, now: Millis, tokens: f64) {
        self.mean = self.get(now) + tokens / self.window_ms;
        self.updated_at = self.updated_at.max(now);
    }

    /// The rate.
    pub fn get(&self, now: Millis) -> f64 {
        let elapsed = now.since(self.updated_at).0 as f64;
        self.mean * (-elapsed / self.window_ms).exp()
    }
}
