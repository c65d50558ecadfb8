//! Speeds and sizes of an engine.

use serde::{Deserialize, Serialize};

/// Speeds and sizes; times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Time of an iteration with nothing in it.
    pub iteration_us: u64,
    /// Time that each decoding sequence adds to an iteration.
    pub sequence_us: u64,
    /// Time that each computed prompt token adds to an iteration.
    pub prefill_us: u64,
    /// Time to export one token's KV cache.
    pub export_us: u64,
    /// Most prompt tokens computed in one iteration.
    pub prefill_chunk: u32,
    /// Sequences that run at once.
    pub max_running: usize,
    /// Blocks of prompt prefixes that the cache holds.
    pub cache_blocks: usize,
}

impl Default for Config {
    /// The speeds of a middle-sized model: about 40 tokens a second alone, 8,000 prompt tokens a second.
    fn default() -> Self {
        Self {
            iteration_us: 25_000,
            sequence_us: 800,
            prefill_us: 125,
            export_us: 2,
            prefill_chunk: 512,
            max_running: 32,
            cache_blocks: 8_192,
        }
    }
}

impl Config {
    /// A hundredth of the usual times, for quick tests.
    pub fn quick() -> Self {
        Self {
            iteration_us: 250,
            sequence_us: 8,
            prefill_us: 1,
            export_us: 0,
            ..Self::default()
        }
    }
}
