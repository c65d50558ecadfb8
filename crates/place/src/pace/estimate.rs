//! The slowly changing part of a replica's speed.

/// Weight of a sample once there are many.
const WEIGHT: f32 = 0.08;
/// Weight of a sample above the estimate, as a fraction of that of a sample below it. Waits behind unknown prompts only add time.
const INCREASE_RATIO: f32 = 0.6;
/// Maximum natural logarithm of the ratio of a sample to the estimate that counts.
const MAX_LOG_RATIO: f32 = 0.8;
/// Ratio below which a sample is implausible: the prompt was probably cached, contrary to the prediction.
const MIN_RATIO: f64 = 0.25;
/// Bounds of a time per token, in milliseconds.
const TOKEN_MS: (f64, f64) = (0.000_5, 5.0);
/// Maximum number of samples that one report counts as.
const MAX_COUNT: u16 = 32;
/// Number of samples that an estimate of another node counts as.
const ADOPTED_SAMPLES: u16 = 6;
/// Time per token before the first estimate of the endpoint, in milliseconds; typical of a slow engine.
const INITIAL_TOKEN_MS: f32 = 1.0 / 40.0;
/// Number of samples from which on an estimate is that of the replica rather than that of its endpoint.
const KNOWN_SAMPLES: u16 = 3;

/// Time that a replica takes per prompt token when nothing slows it down at the moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    token_ms: f32,
    samples: u16,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            token_ms: INITIAL_TOKEN_MS,
            samples: 0,
        }
    }
}

impl Estimate {
    /// Time per prompt token, in milliseconds.
    pub fn token_ms(self) -> f64 {
        f64::from(self.token_ms)
    }

    /// Number of samples, bounded.
    pub const fn samples(self) -> u16 {
        self.samples
    }

    /// Whether enough samples were taken to tell the replica from a usual one.
    pub const fn is_known(self) -> bool {
        self.samples >= KNOWN_SAMPLES
    }

    /// Sets the time per token of a replica of which there is no sample.
    pub fn set_prior(&mut self, token_ms: f64) {
        if self.samples == 0 {
            self.token_ms = bounded(token_ms);
        }
    }

    /// Records the mean of some samples. Returns whether it is plausible.
    pub fn record(&mut self, token_ms: f64, count: u16) -> bool {
        if count == 0 || !token_ms.is_finite() || token_ms < MIN_RATIO * self.token_ms() {
            return false;
        }
        let log_ratio = (bounded(token_ms) / self.token_ms).ln();
        let difference = log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let weight = (1.0 / (f32::from(self.samples) + 2.0)).max(WEIGHT);
        let weight = if difference > 0.0 && self.is_known() {
            weight * INCREASE_RATIO
        } else {
            weight
        };
        let part = 1.0 - (1.0 - weight).powi(i32::from(count.min(MAX_COUNT)));
        self.token_ms *= (difference * part).exp();
        self.samples = self.samples.saturating_add(count);
        true
    }

    /// Takes over what another node has learned, if this node knows less.
    pub fn adopt(&mut self, token_ms: f64) {
        if self.samples < ADOPTED_SAMPLES && token_ms.is_finite() && token_ms > 0.0 {
            self.token_ms = bounded(token_ms);
            self.samples = ADOPTED_SAMPLES;
        }
    }
}

const fn bounded(token_ms: f64) -> f32 {
    token_ms.clamp(TOKEN_MS.0, TOKEN_MS.1) as f32
}
