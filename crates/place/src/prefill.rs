//! Estimate of how fast replicas process prompts, learned from the times to their first events.

/// Rate before the first measurement, in tokens per millisecond; typical of a slow engine.
const INITIAL_RATE: f64 = 40.0;
/// Minimum length of a prompt to measure: the latency of shorter ones depends mostly on its fixed part.
const MIN_TOKENS: u32 = 2_000;
/// Fixed part of the time to a first event.
const FIXED_LATENCY_MS: f64 = 20.0;
/// Weight of a sample below the estimate. It is low because most of these prompts waited behind others.
const DECREASE_WEIGHT: f64 = 0.02;
/// Weight of a sample above the estimate.
const INCREASE_WEIGHT: f64 = 0.3;

/// Prefill rate in tokens per millisecond, estimated as a high quantile of the samples.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillRate(f64);

impl Default for PrefillRate {
    fn default() -> Self {
        Self(INITIAL_RATE)
    }
}

impl PrefillRate {
    /// Records the time to a first event for a prompt of which this many tokens had to be processed.
    pub fn record(&mut self, tokens: u32, latency_ms: f64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let sample = f64::from(tokens) / (latency_ms - FIXED_LATENCY_MS).max(1.0);
        // Such a rate is implausible: the prompt was probably cached, contrary to the prediction.
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

    /// Returns the time to process this many tokens, in milliseconds.
    pub fn millis(self, tokens: f64) -> f64 {
        tokens / self.0
    }
}
