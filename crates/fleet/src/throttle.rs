//! Model loads, started no faster than the weight store serves them.
//!
//! A token bucket in bytes; a load starts when the bucket isn't overdrawn and takes its whole size at once. The more
//! urgent load goes first, then the one that waits longer.

use base::Millis;
use indexmap::IndexMap;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// How urgent a load is; the first is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// An endpoint lacks capacity now.
    Shortage,
    /// A replica that is leaving is to be replaced.
    Replacement,
    /// A rollout needs replicas of its version.
    Rollout,
    /// Capacity for later.
    Prewarm,
}

/// A load that is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The caller's identifier.
    pub id: u64,
    /// Bytes to fetch.
    pub bytes: u64,
    /// How urgent it is.
    pub priority: Priority,
}

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A load is wanted, or wanted with another urgency.
    Enqueue(Load),
    /// A load isn't wanted any more, has ended or has failed.
    Remove(u64),
    /// Time passes.
    Tick,
}

/// The weight store's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Bytes a second.
    pub bytes_per_second: u64,
    /// Bytes that may be taken at once after a quiet time.
    pub burst_bytes: u64,
    /// Most loads under way.
    pub max_running: usize,
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    load: Load,
    sequence: u64,
}

/// The loads that wait and those under way.
#[derive(Clone, Debug)]
pub struct Throttle {
    rate: Rate,
    /// Bytes in the bucket times a thousand; below zero while it is overdrawn.
    level: i128,
    refilled_at: Millis,
    queued: IndexMap<u64, Queued>,
    running: IndexMap<u64, u64>,
    sequence: u64,
}

impl Throttle {
    /// A full bucket.
    pub fn new(rate: Rate) -> Self {
        Self {
            level: i128::from(rate.burst_bytes) * i128::from(MILLIS_PER_SECOND),
            refilled_at: Millis::ZERO,
            queued: IndexMap::new(),
            running: IndexMap::new(),
            sequence: 0,
            rate,
        }
    }

    /// Number of loads that wait.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Number of loads under way.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Takes one event; returns the loads to start now.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<u64> {
        self.refill(now);
        match event {
            Event::Enqueue(load) => self.enqueue(load),
            Event::Remove(id) => self.remove(id),
            Event::Tick => {}
        }
        self.start()
    }

    fn refill(&mut self, now: Millis) {
        let added = i128::from(now.since(self.refilled_at).0) * i128::from(self.rate.bytes_per_second);
        let max_level = i128::from(self.rate.burst_bytes) * i128::from(MILLIS_PER_SECOND);
        self.level = (self.level + added).min(max_level);
        self.refilled_at = now.max(self.refilled_at);
    }

    fn enqueue(&mut self, load: Load) {
        if self.running.contains_key(&load.id) {
            return;
        }
        self.sequence += 1;
        let sequence = self.queued.get(&load.id).map_or(self.sequence, |it| it.sequence);
        self.queued.insert(load.id, Queued { load, sequence });
    }

    fn remove(&mut self, id: u64) {
        self.queued.swap_remove(&id);
        self.running.swap_remove(&id);
    }

    fn start(&mut self) -> Vec<u64> {
        let mut started = Vec::new();
        while self.level > 0 && self.running.len() < self.rate.max_running {
            let urgency = |it: &&Queued| (it.load.priority, it.sequence);
            let Some(next) = self.queued.values().min_by_key(urgency).copied() else {
                break;
            };
            let Load { id, bytes, .. } = next.load;
            self.queued.swap_remove(&id);
            self.running.insert(id, bytes);
            self.level -= i128::from(bytes) * i128::from(MILLIS_PER_SECOND);
            started.push(id);
        }
        started
    }
}
