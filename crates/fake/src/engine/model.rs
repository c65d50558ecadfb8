//! The engine's timing and cache as a pure state machine in virtual time.
//!
//! Work goes in iterations, as in continuous batching: each gives every decoding sequence one token and computes a chunk
//! of waiting prompts. An iteration takes longer with each sequence and each prompt token in it. Prompts are cached by
//! blocks; only uncached tokens are computed. Times are microseconds, so that short iterations can be modelled.

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
