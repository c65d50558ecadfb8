//! The decision on which request may hold how much memory.

use base::Millis;
use slotmap::SlotMap;

use crate::holder::{Holder, Stage};
use crate::{Decision, Key};

/// Size up to which a request is small. Ordinary bodies have 100 kB at most.
const SMALL_BYTES: usize = 128 * 1024;
/// Part of the memory that only small requests may use: one in this many bytes.
const RESERVE_DIVISOR: usize = 4;
/// Time without a byte after which a sender counts as stalled. Several round trips within a region, and shorter than
/// a request that waits for memory is worth.
const STALL: Millis = Millis(200);

/// Memory that requests share.
///
/// Load pattern: some hundreds of clients send large bodies at once and most of them stop just short of the end, beside
/// ordinary requests of up to 100 kB. If the memory is used up, the request is given up that holds most for the longest
/// time without progress. While all bodies progress, those that need more wait; once all wait for each other, the
/// largest is given up, so that the others can be completed. Small requests have a reserve. A request that is complete
/// is never given up, since it may have been passed on.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: usize,
    holders: SlotMap<Key, Holder>,
}

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            holders: SlotMap::with_key(),
        }
    }

    /// Changes the number of bytes. Requests that hold more than that keep it.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Number of bytes in use.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Adds a request that holds nothing yet and announces this size; 0 if it announces none.
    pub fn open(&mut self, now: Millis, announced: usize) -> Key {
        self.holders.insert(Holder {
            held: 0,
            announced,
            grown: now,
            stage: Stage::Receiving,
        })
    }

    /// Removes a request and what it holds. It may be unknown.
    pub fn close(&mut self, key: Key) {
        if let Some(holder) = self.holders.remove(key) {
            self.used -= holder.held;
        }
    }

    /// Records that a part of a body has arrived, for which the request need not hold more.
    pub fn progress(&mut self, now: Millis, key: Key) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.grown = now;
        }
    }

    /// Records that a body is complete.
    pub fn complete(&mut self, key: Key) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.stage = Stage::Complete;
        }
    }

    /// Whether a request is to be given up.
    pub fn is_evicted(&self, key: Key) -> bool {
        let holder = self.holders.get(key);
        holder.is_none_or(|holder| holder.stage == Stage::Evicted)
    }

    /// Decides whether a request whose body arrives may hold `wanted` bytes in all.
    pub fn grow(&mut self, now: Millis, key: Key, wanted: usize) -> Decision {
        let Some(holder) = self.holders.get_mut(key) else {
            return Decision::Refused;
        };
        if holder.stage == Stage::Evicted {
            return Decision::Refused;
        }
        let others = self.used - holder.held;
        let size = wanted.max(holder.announced);
        if wanted <= holder.held || others + wanted <= ceiling(self.limit, size) {
            holder.held = wanted;
            holder.grown = now;
            holder.stage = Stage::Receiving;
            self.used = others + wanted;
            return Decision::Granted;
        }
        holder.stage = Stage::Waiting;
        self.decide_exhausted(now, key, size)
    }

    fn decide_exhausted(&mut self, now: Millis, asker: Key, size: usize) -> Decision {
        if size > ceiling(self.limit, size) {
            return Decision::Refused;
        }
        if self.holders.values().any(|it| it.stage == Stage::Evicted) {
            // Its memory is released as soon as its task runs.
            return Decision::Wait;
        }
        let stalled = |holder: &Holder| holder.held > 0 && holder.stalled(now) >= STALL;
        let slowest = self.largest_by(stalled, |it| it.held as u128 * u128::from(it.stalled(now).0));
        if let Some(victim) = slowest {
            return self.evict(victim);
        }
        if size <= SMALL_BYTES {
            let large = |holder: &Holder| holder.held > SMALL_BYTES && holder.stage != Stage::Complete;
            if let Some(victim) = self.largest_by(large, |it| it.held as u128) {
                return self.evict(victim);
            }
        }
        let is_waiting = |holder: &Holder| holder.stage == Stage::Waiting || holder.held == 0;
        if !self.holders.values().all(is_waiting) {
            return Decision::Wait;
        }
        let largest = self.largest_by(|it| it.stage == Stage::Waiting, |it| it.held as u128);
        match largest {
            Some(victim) if victim != asker => self.evict(victim),
            _ => Decision::Refused,
        }
    }

    fn evict(&mut self, victim: Key) -> Decision {
        self.holders[victim].stage = Stage::Evicted;
        Decision::Evict(victim)
    }

    /// The request of the highest rank. Of equal ones it is the one that was opened last in the order of the slots.
    fn largest_by<F, R>(&self, filter: F, rank: R) -> Option<Key>
    where
        F: Fn(&Holder) -> bool,
        R: Fn(&Holder) -> u128,
    {
        let candidates = self.holders.iter().filter(|(_, holder)| filter(holder));
        candidates
            .max_by_key(|(_, holder)| rank(holder))
            .map(|(key, _)| key)
    }
}

/// Up to which use of the memory a request of this size may grow.
const fn ceiling(limit: usize, size: usize) -> usize {
    if size <= SMALL_BYTES {
        limit
    } else {
        limit - limit / RESERVE_DIVISOR
    }
}
