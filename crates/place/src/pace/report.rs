//! What nodes tell each other of the speed of replicas.

use serde::{Deserialize, Serialize};

/// Tokens that the time in a report is given for.
const TOKENS: f64 = 100_000.0;

/// Samples of one replica since the last report of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerPace {
    /// The low bits of the hash of the replica's id and start.
    pub replica: u32,
    /// Mean time for 100,000 prompt tokens, in milliseconds.
    pub time: u32,
    /// Number of samples; 0 if the sender tells its estimate instead.
    pub count: u16,
}

impl PeerPace {
    /// Creates a report of a mean time per token, in milliseconds.
    pub(crate) fn new(replica: u32, token_ms: f64, count: u16) -> Self {
        Self {
            replica,
            time: (token_ms * TOKENS).round() as u32,
            count,
        }
    }

    /// Mean time per token, in milliseconds.
    pub(crate) fn token_ms(self) -> f64 {
        f64::from(self.time) / TOKENS
    }

    /// Joins the samples of both.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        let count = self.count.saturating_add(other.count);
        if count == 0 {
            return other;
        }
        let sum =
            u64::from(self.time) * u64::from(self.count) + u64::from(other.time) * u64::from(other.count);
        let parts = u64::from(self.count) + u64::from(other.count);
        Self {
            replica: self.replica,
            time: (sum / parts) as u32,
            count,
        }
    }
}
