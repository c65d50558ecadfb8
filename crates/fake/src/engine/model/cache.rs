//! Prefix cache.

use indexmap::IndexMap;

/// Cached prompt prefixes, keyed by the hash of the prefix up to each block, with LRU eviction.
#[derive(Clone, Debug)]
pub struct Cache {
    limit: usize,
    use_count: u64,
    blocks: IndexMap<u64, u64>,
}

/// Blocks added to and evicted from the cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Hashes of the added blocks.
    pub stored: Vec<u64>,
    /// Hashes of the evicted blocks.
    pub removed: Vec<u64>,
}

impl Cache {
    /// Creates an empty cache of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            use_count: 0,
            blocks: IndexMap::new(),
        }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the number of leading blocks that are cached and marks them as used.
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

    /// Stores the leading blocks of a prompt, at most `limit` of them, and evicts blocks if the cache is too full.
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

    /// Evicts down to 90 % of the limit, so that the sort by last use is rarely needed.
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
