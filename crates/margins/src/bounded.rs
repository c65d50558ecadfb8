//! A map with a maximum size, which counts what it has no room for.

use std::hash::Hash;

use indexmap::IndexMap;

/// A map with a maximum size.
#[derive(Clone, Debug)]
pub struct Bounded<K, V> {
    entries: IndexMap<K, V>,
    capacity: usize,
    overflow: u64,
}

impl<K, V> Bounded<K, V>
where
    K: Hash + Eq,
{
    /// Creates a map of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: IndexMap::new(),
            capacity,
            overflow: 0,
        }
    }

    /// The value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key)
    }

    /// The value of a key, to be changed.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key)
    }

    /// The value of a key, created if it is missing; `None` if there is no room for it.
    pub fn get_or_insert_with<F>(&mut self, key: K, create: F) -> Option<&mut V>
    where
        F: FnOnce() -> V,
    {
        if self.entries.len() >= self.capacity && !self.entries.contains_key(&key) {
            self.overflow += 1;
            return None;
        }
        Some(self.entries.entry(key).or_insert_with(create))
    }

    /// Removes a key and returns its value. The order of the others changes.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.entries.swap_remove(key)
    }

    /// Keeps the entries for which `keep` returns true.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: FnMut(&K, &mut V) -> bool,
    {
        self.entries.retain(keep);
    }

    /// The values, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.values_mut()
    }

    /// The entries in the order of their insertion, as long as none was removed.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter()
    }

    /// How often there was no room for a key.
    pub const fn overflow(&self) -> u64 {
        self.overflow
    }
}
