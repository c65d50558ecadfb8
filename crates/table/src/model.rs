//! The model engine that an endpoint's replicas run.

/// Sizes of one replica's engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the KV cache holds.
    pub cache_tokens: u64,
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Whether running requests can be moved to another replica.
    pub supports_migration: bool,
}
