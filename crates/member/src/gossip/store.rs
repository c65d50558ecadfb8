//! Storage of items in buckets with a checksum each, by which two nodes find the items that differ.

use base::Millis;
use indexmap::{IndexMap, IndexSet};

use crate::frame::{Entry, Listing};
use crate::hash;
use crate::item::{Body, Item, Key, Kind};
use crate::timestamp::Timestamp;

/// Number of buckets.
pub(crate) const BUCKETS: usize = 64;

/// A stored item.
#[derive(Clone, Debug)]
pub(crate) struct StoredItem {
    pub(crate) body: Body,
    pub(crate) created: Timestamp,
    entry: Entry,
}

impl StoredItem {
    pub(crate) fn to_item(&self, now: Millis, hops: u8) -> Item {
        let body = self.body.clone();
        let age = self.created.age_millis(now);
        Item { body, age, hops }
    }
}

/// The stored items, indexed by key and by the key's hash.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    items: IndexMap<Key, StoredItem>,
    by_hash: IndexMap<u64, Key>,
    buckets: Vec<IndexSet<u64>>,
    sums: Vec<u32>,
    counts: IndexMap<Kind, usize>,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            items: IndexMap::new(),
            by_hash: IndexMap::new(),
            buckets: vec![IndexSet::new(); BUCKETS],
            sums: vec![0; BUCKETS],
            counts: IndexMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns the number of items of one kind.
    pub(crate) fn count(&self, kind: Kind) -> usize {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    pub(crate) fn get(&self, key: &Key) -> Option<&StoredItem> {
        self.items.get(key)
    }

    pub(crate) fn by_hash(&self, hash: u64) -> Option<&StoredItem> {
        self.items.get(self.by_hash.get(&hash)?)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Key, &StoredItem)> {
        self.items.iter()
    }

    /// Whether `body` is newer than the one stored under its key.
    pub(crate) fn is_newer(&self, body: &Body) -> bool {
        self.get(&body.key())
            .is_none_or(|stored| body.version() > stored.entry.version)
    }

    /// Stores `body`, replacing the one stored under its key.
    pub(crate) fn insert(&mut self, created: Timestamp, body: Body) {
        let key = body.key();
        self.remove(&key);
        let hash = hash::of(&key);
        let entry = Entry {
            key: hash,
            version: body.version(),
        };
        *self.counts.entry(key.kind()).or_default() += 1;
        self.toggle_sum(entry);
        self.buckets[bucket_of(hash)].insert(hash);
        self.by_hash.insert(hash, key.clone());
        self.items.insert(key, StoredItem { body, created, entry });
    }

    pub(crate) fn remove(&mut self, key: &Key) -> Option<StoredItem> {
        let stored = self.items.swap_remove(key)?;
        *self.counts.entry(key.kind()).or_default() -= 1;
        let hash = stored.entry.key;
        self.by_hash.swap_remove(&hash);
        self.buckets[bucket_of(hash)].swap_remove(&hash);
        self.toggle_sum(stored.entry);
        Some(stored)
    }

    pub(crate) fn sums(&self) -> Vec<u32> {
        self.sums.clone()
    }

    /// Returns the buckets whose checksums differ from `remote`.
    pub(crate) fn differing_buckets(&self, remote: &[u32]) -> Vec<Listing> {
        (0..BUCKETS)
            .filter(|bucket| remote.get(*bucket) != Some(&self.sums[*bucket]))
            .map(|bucket| self.listing(bucket))
            .collect()
    }

    fn listing(&self, bucket: usize) -> Listing {
        let stored = self.buckets[bucket].iter();
        Listing {
            bucket: bucket as u8,
            entries: stored
                .filter_map(|hash| Some(self.by_hash(*hash)?.entry))
                .collect(),
        }
    }

    /// Returns the key hashes in the listing's bucket that the listing lacks or has in an older version.
    pub(crate) fn keys_newer_than(&self, listing: &Listing) -> Vec<u64> {
        let Some(bucket) = self.buckets.get(usize::from(listing.bucket)) else {
            return Vec::new();
        };
        let remote: IndexMap<u64, u64> = listing.entries.iter().map(|it| (it.key, it.version)).collect();
        let is_newer = |hash: &u64| {
            let stored = self.by_hash(*hash);
            stored.is_some_and(|stored| {
                remote
                    .get(hash)
                    .is_none_or(|version| stored.entry.version > *version)
            })
        };
        bucket.iter().copied().filter(is_newer).collect()
    }

    /// Returns the key hashes in the listing that this store lacks or has in an older version.
    pub(crate) fn keys_older_than(&self, listing: &Listing) -> Vec<u64> {
        let is_older = |it: &&Entry| {
            let stored = self.by_hash(it.key);
            stored.is_none_or(|stored| stored.entry.version < it.version)
        };
        let entries = listing.entries.iter();
        entries.filter(is_older).map(|it| it.key).collect()
    }

    /// Adds an entry to its bucket's checksum, or removes it: the checksum is the XOR of the entries' hashes.
    fn toggle_sum(&mut self, entry: Entry) {
        self.sums[bucket_of(entry.key)] ^= (hash::of(&entry) >> 32) as u32;
    }
}

fn bucket_of(hash: u64) -> usize {
    (hash % BUCKETS as u64) as usize
}
