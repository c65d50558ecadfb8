//! How calls to the service are repeated.

use std::time::Duration;

use rand::RngExt;

/// Attempts, deadline and backoff of one call.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Attempts at most.
    pub attempts: u32,
    /// Time for one attempt.
    pub timeout: Duration,
    /// Backoff before the second attempt; doubles from there.
    pub backoff: Duration,
}

impl Policy {
    /// The backoff after `attempt` attempts: full jitter between half and the whole.
    pub fn delay(&self, attempt: u32) -> Duration {
        const MAX_DOUBLINGS: u32 = 5;
        let full = self.backoff * 2_u32.pow(attempt.saturating_sub(1).min(MAX_DOUBLINGS));
        full.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            attempts: 3,
            timeout: Duration::from_secs(1),
            backoff: Duration::from_millis(50),
        }
    }
}
