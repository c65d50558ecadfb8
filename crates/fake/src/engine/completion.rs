//! Request and response bodies of the engine.

use serde::{Deserialize, Serialize};

/// Body of a completion request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Completion {
    /// Text to complete.
    pub prompt: String,
    /// Total number of tokens of the response, including those delivered before a resume.
    pub max_tokens: u32,
    /// Whether to respond with an event stream.
    pub stream: bool,
    /// Number of tokens that the caller already has, which is the index of the first token to send.
    pub resume_from: u32,
    /// Requests with a higher priority start first.
    pub priority: i32,
    /// KV cache exported by another engine.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub import: Option<Export>,
}

/// Exported KV cache of a sequence, as far as it has been computed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Hash of the prompt.
    pub prompt: u64,
    /// Number of prompt tokens and generated tokens in the cache.
    pub tokens: u32,
}

/// Data of a token event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Text of the token.
    pub token: String,
}

/// Data of the terminal event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Total number of tokens of the response.
    pub tokens: u32,
}

/// Body of a response without streaming.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Text {
    /// Text of the tokens from `resume_from` on.
    pub text: String,
    /// Total number of tokens of the response.
    pub tokens: u32,
}
