//! Moving averages of the rates of all classes.

use base::Millis;

use crate::Class;

/// Rates by class, in units per millisecond, averaged with exponentially decreasing weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    window_ms: f64,
    means: [f64; Class::COUNT],
    updated_at: Millis,
}

impl Rates {
    /// Creates rates of zero that are averaged over about `window_ms`.
    pub const fn new(since: Millis, window_ms: f64) -> Self {
        Self {
            window_ms,
            means: [0.0; Class::COUNT],
            updated_at: since,
        }
    }

    /// Adds an amount to the rate of a class.
    pub fn add(&mut self, now: Millis, class: Class, amount: f64) {
        self.means = self.get(now);
        self.means[class.index()] += amount / self.window_ms;
        self.updated_at = self.updated_at.max(now);
    }

    /// The rates by [`Class::index`].
    pub fn get(&self, now: Millis) -> [f64; Class::COUNT] {
        let elapsed = now.since(self.updated_at).0 as f64;
        let factor = (-elapsed / self.window_ms).exp();
        self.means.map(|mean| mean * factor)
    }
}
