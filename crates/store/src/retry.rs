//! Retries of calls to the service.

use std::time::Duration;

use rand::RngExt;

/// Attempts, timeout and backoff of a call.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Maximum number of attempts.
    pub attempts: u32,
    /// Timeout of each attempt.
    pub timeout: Duration,
    /// Backoff before the second attempt; doubles with each further attempt.
    pub backoff: Duration,
}

impl Policy {
    /// Returns the delay after `attempt` attempts: the backoff, with random jitter between half and the full value.
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
