//! Shards of the ledger.

use std::fmt;

use base::Incarnation;
use serde::{Deserialize, Serialize};

/// One of the logs that claims are spread over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(pub u16);

impl Shard {
    /// The node that should write to this shard, by rendezvous hashing: of the live nodes, each shard prefers one,
    /// and a node that comes or goes moves only the shards it gains or had.
    ///
    /// NB: a preference only; the log decides between two writers whose views of the live nodes differ.
    pub fn preferred_writer(self, live: &[Incarnation]) -> Option<Incarnation> {
        live.iter().copied().max_by_key(|node| Rank {
            hash: self.weight(*node),
            node: *node,
        })
    }

    fn weight(self, node: Incarnation) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(&node.0.to_le_bytes());
        let mut bytes = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut bytes);
        u64::from_le_bytes(bytes)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    hash: u64,
    node: Incarnation,
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04x}", self.0)
    }
}
