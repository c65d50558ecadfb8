//! A request as the model runs it.

use super::Prompt;

/// A sequence to be computed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    /// Identity that outputs name; one at a time.
    pub id: u64,
    /// Its prompt.
    pub prompt: Prompt,
    /// Tokens generated before, elsewhere.
    pub resume_from: u32,
    /// Tokens of the whole answer.
    pub max_tokens: u32,
    /// Higher starts first.
    pub priority: i32,
    /// Tokens of prompt and answer whose KV cache comes along.
    pub imported: u32,
}
