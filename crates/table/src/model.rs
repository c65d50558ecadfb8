//! The model engine that an endpoint's replicas run.

/// Capacity and features of one replica's engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub cache_tokens: u64,
    /// Size of one token in the KV cache, in bytes.
    pub token_bytes: u64,
    /// Whether a running request can migrate to another replica.
    pub supports_migration: bool,
}
