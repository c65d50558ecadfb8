//! What an answer holds.

use serde::{Deserialize, Serialize};

/// The content of an answer that depends on its request alone: expected with the call, seen with the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Tokens of a stream; 1 for a whole body.
    pub parts: u64,
    /// Digest of the parts.
    pub digest: String,
}
