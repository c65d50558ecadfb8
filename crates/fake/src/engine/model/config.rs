//! Timing and capacity of an engine.

use serde::{Deserialize, Serialize};

/// Timing and capacity of an engine; times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Time that an empty iteration takes.
    pub iteration_us: u64,
    /// Time that each decoding sequence adds to an iteration.
    pub sequence_us: u64,
    /// Time that each computed prompt token adds to an iteration.
    pub prefill_us: u64,
    /// Time to export the KV cache of one token.
    pub export_us: u64,
    /// Maximum number of prompt tokens computed per iteration.
    pub prefill_chunk: u32,
    /// Maximum number of sequences that run concurrently.
    pub max_running: usize,
    /// Maximum number of blocks in the prefix cache.
    pub cache_blocks: usize,
}

impl Default for Config {
    /// Timing of a medium-sized model: about 40 tokens per second for a single sequence,
    /// and 8,000 prompt tokens per second.
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
    /// Returns a configuration about 100 times faster than the default, for tests.
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
