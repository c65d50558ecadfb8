//! Keys that callers chose.

use serde::{Deserialize, Serialize};

use super::Shard;
use crate::Binding;

/// Bytes kept of the hash; two keys of one deployment don't meet by chance.
const LEN: usize = 16;

/// Hash of a caller's `Idempotency-Key` with its endpoint and workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub [u8; LEN]);

impl Key {
    /// The key `text` of a caller; the same text for another endpoint or workspace is another key.
    pub fn new(binding: &Binding, text: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [
            binding.endpoint.as_str().as_bytes(),
            binding.workspace.as_str().as_bytes(),
            text,
        ] {
            // The length keeps the parts apart.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; LEN];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// The shard of this key, of `shards`.
    pub const fn shard(self, shards: u16) -> Shard {
        let low = u16::from_le_bytes([self.0[0], self.0[1]]);
        Shard(low % shards)
    }
}
