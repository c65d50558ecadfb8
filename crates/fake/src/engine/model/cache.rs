//! The prefix cache.

use indexmap::IndexMap;

/// Prefixes of prompts, by the hash of each block; the least recently used leave first.
#[derive(Clone, Debug)]
pub struct Cache {
    limit: usize,
    use_count: u64,
    blocks: IndexMap<u64, u64>,
}

/// Blocks that came and left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Hashes now cached that were not before.
    pub stored: Vec<u64>,
    /// Hashes no longer cached.
    pub removed: Vec<u64>,
}

impl Cache {
    /// An empty cache of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            use_count: 0,
            blocks: IndexMap::new(),
        }
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Leading blocks that are held; they count as used.
    pub fn match_prefix(&mut self, blocks: &[u64]) -> usize {
        self.use_count += 1;
        let mut matched = 0;
        for block in blocks {
            let Some(last_use) = self.blocks.get_mut(block) else {
                break;
            };
            *last_use = self.use_count;
            matched += 1;
        }
        matched
    }

    /// Holds a prompt's blocks, the first as the most recently used, as far as there is room.
    pub fn store(&mut self, blocks: &[u64]) -> Change {
        self.use_count += 1;
        let mut change = Change::default();
        for block in blocks.iter().take(self.limit) {
            if self.blocks.insert(*block, self.use_count).is_none() {
                change.stored.push(*block);
            }
        }
        change.removed = self.evict();
        change
    }

    /// Empties a tenth at once, so that the search for the oldest is paid rarely.
    fn evict(&mut self) -> Vec<u64> {
        if self.blocks.len() <= self.limit {
            return Vec::new();
        }
        let kept = self.limit - self.limit / 10;
        let excess = self.blocks.len() - kept;
        self.blocks.sort_by(|_, last_use, _, other| last_use.cmp(other));
        let removed = self.blocks.drain(..excess);
        removed.map(|(block, _)| block).collect()
    }
}
