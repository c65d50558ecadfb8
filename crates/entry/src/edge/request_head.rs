//! A caller's request, as far as its head decides anything.

use std::fmt;

use base::Millis;
use bytes::Bytes;
use place::Part;

/// Tokens that a request counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub input: u32,
    /// Most tokens that are generated.
    pub output: u32,
}

/// The head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this attempt, as the caller chose it; may be empty.
    pub id: Bytes,
    /// API key.
    pub key: Option<Bytes>,
    /// How long the caller waits, from when it sent the request.
    pub timeout: Option<Millis>,
    /// Tokens, for requests to a model.
    pub tokens: Option<TokenCounts>,
    /// The prompt's parts, for requests to a model.
    pub parts: Vec<Part>,
    /// Last event that the caller has of a stream that it resumes.
    pub resume_after: Option<u64>,
}

/// Why a head can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadError {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it.
    pub cause: &'static str,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "header {}: {}", self.header, self.cause)
    }
}
