//! Requests to the engine and its answers.

use serde::{Deserialize, Serialize};

/// A completion as it is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Completion {
    /// Text to complete.
    pub prompt: String,
    /// Tokens of the whole answer, with those delivered before.
    pub max_tokens: u32,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Tokens that the caller has already: the first token sent is the one with this index.
    pub resume_from: u32,
    /// Requests of higher priority start first.
    pub priority: i32,
    /// KV cache exported by another engine.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub import: Option<Export>,
}

/// KV cache of a sequence, as far as it is computed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Hash of the prompt that it belongs to.
    pub prompt: u64,
    /// Prompt tokens and generated tokens that it holds.
    pub tokens: u32,
}

/// Data of one event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Text of the token.
    pub token: String,
}

/// Data of the terminal event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Tokens of the whole answer.
    pub tokens: u32,
}

/// Answer without a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Text {
    /// Text of the tokens from `resume_from` on.
    pub text: String,
    /// Tokens of the whole answer.
    pub tokens: u32,
}
