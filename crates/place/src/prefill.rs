//! How fast replicas read prompts, learnt from their first events.

/// Tokens a millisecond until there is a measurement; a modest engine.
const INITIAL_RATE: f64 = 40.0;
/// Prompts shorter than this say more about the fixed part of the latency than about the speed.
const MIN_TOKENS: u32 = 2_000;
/// Fixed part of the time to a first event, in milliseconds.
const FIXED_LATENCY_MS: f64 = 20.0;
/// Part by which a sample below the estimate draws it down: most of them waited behind other prompts.
const DECREASE_WEIGHT: f64 = 0.02;
/// Part by which a sample above the estimate draws it up.
const INCREASE_WEIGHT: f64 = 0.3;

/// Speed of reading prompts, in tokens a millisecond: a high quantile of what was seen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillRate(f64);

impl Default for PrefillRate {
    fn default() -> Self {
        Self(INITIAL_RATE)
    }
}

impl PrefillRate {
    /// Takes in the time to a first event after this many tokens had to be read.
    pub fn record(&mut self, tokens: u32, latency_ms: f64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let sample = f64::from(tokens) / (latency_ms - FIXED_LATENCY_MS).max(1.0);
        // NB: a prompt that was cached after all would look absurdly fast.
        if sample > 4.0 * self.0 {
            return;
        }
        let weight = if sample > self.0 {
            INCREASE_WEIGHT
        } else {
            DECREASE_WEIGHT
        };
        self.0 += weight * (sample - self.0);
    }

    /// Time to read this many tokens, in milliseconds.
    pub fn millis(self, tokens: f64) -> f64 {
        tokens / self.0
    }
}
