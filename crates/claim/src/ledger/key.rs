//! Keys chosen by callers.

use serde::{Deserialize, Serialize};

use super::Shard;
use crate::Binding;

/// Length of the truncated hash, in bytes; long enough to rule out accidental collisions within a deployment.
const LEN: usize = 16;

/// Hash of a caller's `Idempotency-Key` together with its endpoint and workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub [u8; LEN]);

impl Key {
    /// Hashes the key `text` of a caller. The same text for another endpoint or workspace is a different key.
    pub fn new(binding: &Binding, text: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [
            binding.endpoint.as_str().as_bytes(),
            binding.workspace.as_str().as_bytes(),
            text,
        ] {
            // The length prefix keeps adjacent parts from running together.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; LEN];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Shard of this key among `shards` shards.
    pub const fn shard(self, shards: u16) -> Shard {
        let low = u16::from_le_bytes([self.0[0], self.0[1]]);
        Shard(low % shards)
    }
}
