//! Model of the engine's timing and prefix cache: a pure state machine in virtual time.
//!
//! Work is done in iterations, as in continuous batching. Each iteration generates one token for every decoding
//! sequence and computes a chunk of the pending prompts. It takes longer with each sequence and prompt token that it
//! processes. Prompts are cached in blocks, and only uncached tokens are computed. Times are in microseconds, so that
//! short iterations can be modelled.

pub mod cache;
pub mod config;
pub mod counts;
pub mod engine;
pub mod output;
pub mod prompt;
pub mod sequence;

pub use cache::Cache;
pub use config::Config;
pub use counts::Counts;
pub use engine::Engine;
pub use output::Output;
pub use prompt::Prompt;
pub use sequence::Sequence;
