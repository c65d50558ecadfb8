//! What the replicas of an endpoint have in common: the fixed part of the time to a first event, and the usual time per token.

use super::Sample;

/// Fixed part of the time to a first event before the first measurement.
const INITIAL_FIXED_MS: f64 = 20.0;
/// Time per prompt token before the first measurement; typical of a slow engine.
const INITIAL_TOKEN_MS: f64 = 1.0 / 40.0;
/// Maximum fixed part.
const MAX_FIXED_MS: f64 = 1_000.0;
/// Minimum weight of a sample.
const WEIGHT: f64 = 0.03;
/// Weight of a sample above the estimate, as a fraction of that of a sample below it: what a sample has in addition to the fixed part
/// is a wait behind a prompt that this node did not know of.
const INCREASE_RATIO: f64 = 0.5;

/// The time that a usual replica of an endpoint takes for a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Engine {
    fixed_ms: f64,
    token_ms: f64,
    mean_token_ms: f64,
    samples: u32,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            fixed_ms: INITIAL_FIXED_MS,
            token_ms: INITIAL_TOKEN_MS,
            mean_token_ms: INITIAL_TOKEN_MS,
            samples: 0,
        }
    }
}

impl Engine {
    /// Time of a first event that does not depend on the prompt, in milliseconds.
    pub const fn fixed_ms(&self) -> f64 {
        self.fixed_ms
    }

    /// Time per prompt token of the median replica, in milliseconds.
    pub const fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Time per prompt token of a replica of mean speed, in milliseconds. As many of them take as many tokens as the replicas do.
    pub const fn mean_token_ms(&self) -> f64 {
        self.mean_token_ms
    }

    /// Sets the times per prompt token of the median replica and of one of mean speed.
    pub const fn set_token_ms(&mut self, median: f64, mean: f64) {
        self.token_ms = median;
        self.mean_token_ms = mean;
    }

    /// Records a sample of a replica that takes this long per token. Only short prompts tell of the fixed part.
    pub fn record(&mut self, sample: Sample, token_ms: f64) {
        if sample.tokens >= super::MIN_TOKENS {
            return;
        }
        let fixed_ms = f64::from(sample.tokens).mul_add(-token_ms, sample.latency_ms);
        let fixed_ms = fixed_ms.clamp(0.0, self.max_sample_ms());
        let weight = (1.0 / f64::from(self.samples + 1)).max(WEIGHT);
        let weight = if fixed_ms > self.fixed_ms {
            weight * INCREASE_RATIO
        } else {
            weight
        };
        self.fixed_ms += weight * (fixed_ms - self.fixed_ms);
        self.samples = self.samples.saturating_add(1);
    }

    /// Maximum that a sample counts as, so that one long wait does not move the estimate far. The first samples may be far above it.
    fn max_sample_ms(&self) -> f64 {
        const FIRST: u32 = 20;
        if self.samples < FIRST {
            MAX_FIXED_MS
        } else {
            (2.0 * self.fixed_ms + INITIAL_FIXED_MS).min(MAX_FIXED_MS)
        }
    }
}
