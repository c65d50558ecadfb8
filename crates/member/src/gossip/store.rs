//! The items held, in buckets with a sum each, so that two nodes find what differs.

use base::Millis;
use indexmap::{IndexMap, IndexSet};

use crate::frame::{Entry, Listing};
use crate::hash;
use crate::item::{Body, Item, Key, Kind};
use crate::timestamp::Timestamp;

/// Number of buckets.
pub(crate) const BUCKETS: usize = 64;

/// An item held.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) body: Body,
    pub(crate) put: Timestamp,
    entry: Entry,
}

impl Held {
    pub(crate) fn to_item(&self, now: Millis, hops: u8) -> Item {
        let body = self.body.clone();
        let age = self.put.age_millis(now);
        Item { body, age, hops }
    }
}

/// The items, found by key and by the key's hash.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    items: IndexMap<Key, Held>,
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

    /// Number of items of one kind.
    pub(crate) fn count(&self, kind: Kind) -> usize {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    pub(crate) fn get(&self, key: &Key) -> Option<&Held> {
        self.items.get(key)
    }

    pub(crate) fn by_hash(&self, hash: u64) -> Option<&Held> {
        self.items.get(self.by_hash.get(&hash)?)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Key, &Held)> {
        self.items.iter()
    }

    /// Whether `body` is newer than what is held under its key.
    pub(crate) fn is_news(&self, body: &Body) -> bool {
        self.get(&body.key())
            .is_none_or(|held| body.version() > held.entry.version)
    }

    /// Takes `body` in place of what is held under its key.
    pub(crate) fn insert(&mut self, put: Timestamp, body: Body) {
        let key = body.key();
        self.remove(&key);
        let hash = hash::of(&key);
        let entry = Entry {
            key: hash,
            version: body.version(),
        };
        *self.counts.entry(key.kind()).or_default() += 1;
        self.toggle(entry);
        self.buckets[bucket(hash)].insert(hash);
        self.by_hash.insert(hash, key.clone());
        self.items.insert(key, Held { body, put, entry });
    }

    pub(crate) fn remove(&mut self, key: &Key) -> Option<Held> {
        let held = self.items.swap_remove(key)?;
        *self.counts.entry(key.kind()).or_default() -= 1;
        let hash = held.entry.key;
        self.by_hash.swap_remove(&hash);
        self.buckets[bucket(hash)].swap_remove(&hash);
        self.toggle(held.entry);
        Some(held)
    }

    pub(crate) fn sums(&self) -> Vec<u32> {
        self.sums.clone()
    }

    /// The buckets whose sums differ from `theirs`.
    pub(crate) fn differing(&self, theirs: &[u32]) -> Vec<Listing> {
        (0..BUCKETS)
            .filter(|bucket| theirs.get(*bucket) != Some(&self.sums[*bucket]))
            .map(|bucket| self.listing(bucket))
            .collect()
    }

    fn listing(&self, bucket: usize) -> Listing {
        let held = self.buckets[bucket].iter();
        Listing {
            bucket: bucket as u8,
            entries: held.filter_map(|hash| Some(self.by_hash(*hash)?.entry)).collect(),
        }
    }

    /// The keys of the listing's bucket of which this store holds more than the listing.
    pub(crate) fn beyond(&self, listing: &Listing) -> Vec<u64> {
        let Some(bucket) = self.buckets.get(usize::from(listing.bucket)) else {
            return Vec::new();
        };
        let theirs: IndexMap<u64, u64> = listing.entries.iter().map(|it| (it.key, it.version)).collect();
        let is_beyond = |hash: &u64| {
            let held = self.by_hash(*hash);
            held.is_some_and(|held| {
                theirs
                    .get(hash)
                    .is_none_or(|version| held.entry.version > *version)
            })
        };
        bucket.iter().copied().filter(is_beyond).collect()
    }

    /// The keys of which the listing holds more than this store.
    pub(crate) fn lacking(&self, listing: &Listing) -> Vec<u64> {
        let is_lacking = |it: &&Entry| {
            let held = self.by_hash(it.key);
            held.is_none_or(|held| held.entry.version < it.version)
        };
        let entries = listing.entries.iter();
        entries.filter(is_lacking).map(|it| it.key).collect()
    }

    fn toggle(&mut self, entry: Entry) {
        self.sums[bucket(entry.key)] ^= (hash::of(&entry) >> 32) as u32;
    }
}

fn bucket(hash: u64) -> usize {
    (hash % BUCKETS as u64) as usize
}
