//! Tokens by kind.

use serde::{Deserialize, Serialize};

/// Tokens and requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Sequences that began to run.
    pub started: u64,
    /// Sequences that came to their end.
    pub finished: u64,
    /// Sequences cancelled before their end.
    pub cancelled: u64,
    /// Prompt tokens computed, with those computed again.
    pub prefilled: u64,
    /// Tokens computed for resumed sequences, which another engine had computed before.
    pub recomputed: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens taken over by import.
    pub imported: u64,
    /// Tokens generated.
    pub decoded: u64,
}
