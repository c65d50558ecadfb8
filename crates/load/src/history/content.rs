//! Expected and observed content of answers.

use serde::{Deserialize, Serialize};

/// Content of an answer. It depends only on the request, so the caller records the expected content with the call
/// and the observed content with the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Number of tokens of a stream; 1 for a non-streamed body.
    pub parts: u64,
    /// Digest of the concatenated parts.
    pub digest: String,
}
