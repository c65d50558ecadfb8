//! The head of a caller's request.

use std::fmt;

use base::Millis;
use bytes::Bytes;
use place::Part;

/// Token counts of a request to a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Number of prompt tokens.
    pub input: u32,
    /// Maximum number of generated tokens.
    pub output: u32,
}

/// The decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this attempt, chosen by the caller; may be empty.
    pub id: Bytes,
    /// The API key.
    pub key: Option<Bytes>,
    /// How long the caller waits, counted from when it sent the request.
    pub timeout: Option<Millis>,
    /// Token counts, for requests to a model.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt, for requests to a model.
    pub parts: Vec<Part>,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub resume_after: Option<u64>,
}

impl RequestHead {
    /// The prompt parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        match self.parts.as_slice() {
            [] => &[],
            [shared @ .., _own] => shared,
        }
    }
}

/// Why a request head cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadError {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong with it.
    pub cause: &'static str,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "header {}: {}", self.header, self.cause)
    }
}
