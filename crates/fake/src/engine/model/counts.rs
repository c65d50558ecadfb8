//! Counters of tokens and sequences.

use serde::{Deserialize, Serialize};

/// Tokens and sequences since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Sequences that started running.
    pub started: u64,
    /// Sequences that finished.
    pub finished: u64,
    /// Sequences cancelled before they finished.
    pub cancelled: u64,
    /// Prefill tokens computed, including recomputed ones.
    pub prefilled: u64,
    /// Tokens computed for resumed sequences, which another engine had already computed.
    pub recomputed: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens whose KV cache was imported.
    pub imported: u64,
    /// Tokens generated.
    pub decoded: u64,
}
