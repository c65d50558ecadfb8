//! Shards of a ledger.

use std::fmt;

use base::Incarnation;
use serde::{Deserialize, Serialize};

/// Identifies one of the logs that claims are partitioned into.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(pub u16);

impl Shard {
    /// Preferred writer of this shard among the `live` nodes, by rendezvous hashing: a node that joins or leaves moves
    /// only the shards that it gains or had.
    ///
    /// This is only a preference. If nodes disagree about the live nodes and several write, the log decides.
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
