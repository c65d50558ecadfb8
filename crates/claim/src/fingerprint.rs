//! Request hashes that distinguish a repeat from a different request under the same key.

use serde::{Deserialize, Serialize};

/// Length of the truncated hash, in bytes.
const LEN: usize = 16;

/// Hash of a request's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; LEN]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(method: &[u8], path: &[u8], body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method, path, body] {
            // The length prefix keeps adjacent parts from running together.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; LEN];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}
