//! Sequences that the engine model runs.

use super::Prompt;

/// Request to generate tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    /// Id in the outputs; must be unique among the active sequences.
    pub id: u64,
    /// Prompt of the sequence.
    pub prompt: Prompt,
    /// Number of tokens that another engine has already generated.
    pub resume_from: u32,
    /// Total number of tokens of the response.
    pub max_tokens: u32,
    /// Sequences with a higher priority start first.
    pub priority: i32,
    /// Number of prompt and response tokens whose KV cache is imported.
    pub imported: u32,
}
