//! Rate limit for model loads, so that they start no faster than the weight store can serve them.
//!
//! The limit is a token bucket in bytes. A load starts when the level is above zero and takes its whole size at once,
//! which may overdraw the bucket. Queued loads start by priority, then in the order of their arrival.

use base::Millis;
use indexmap::IndexMap;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Priority of a load, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// An endpoint lacks capacity.
    Shortage,
    /// Replaces a replica that is leaving.
    Replacement,
    /// Provides replicas of the version that is rolled out.
    Rollout,
    /// Provides capacity that will be needed later.
    Prewarm,
}

/// A load of model weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelLoad {
    /// The caller's identifier.
    pub id: u64,
    /// Bytes to fetch.
    pub bytes: u64,
    /// Its priority.
    pub priority: Priority,
}

/// Input to the throttle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Queues a load, or updates a queued one. Ignored if the load is running.
    Enqueue(ModelLoad),
    /// Removes a load that is no longer needed, has finished or has failed.
    Remove(u64),
    /// No input other than the current time.
    Tick,
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes per second.
    pub bytes_per_second: u64,
    /// Capacity of the bucket in bytes.
    pub burst_bytes: u64,
    /// Maximum number of running loads.
    pub max_running: usize,
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    load: ModelLoad,
    sequence: u64,
}

/// The queued and the running loads.
#[derive(Clone, Debug)]
pub struct Throttle {
    limits: Limits,
    /// Bytes in the bucket, multiplied by 1,000; negative while the bucket is overdrawn.
    level: i128,
    refilled_at: Millis,
    queued: IndexMap<u64, Queued>,
    running: IndexMap<u64, u64>,
    sequence: u64,
}

impl Throttle {
    /// Creates a throttle with a full bucket and no loads.
    pub fn new(limits: Limits) -> Self {
        Self {
            level: i128::from(limits.burst_bytes) * i128::from(MILLIS_PER_SECOND),
            refilled_at: Millis::ZERO,
            queued: IndexMap::new(),
            running: IndexMap::new(),
            sequence: 0,
            limits,
        }
    }

    /// Returns the number of queued loads.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of running loads.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Applies one event and returns the ids of the loads to start now.
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
        let added = i128::from(now.since(self.refilled_at).0) * i128::from(self.limits.bytes_per_second);
        let max_level = i128::from(self.limits.burst_bytes) * i128::from(MILLIS_PER_SECOND);
        self.level = (self.level + added).min(max_level);
        self.refilled_at = now.max(self.refilled_at);
    }

    fn enqueue(&mut self, load: ModelLoad) {
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
        while self.level > 0 && self.running.len() < self.limits.max_running {
            let urgency = |it: &&Queued| (it.load.priority, it.sequence);
            let Some(next) = self.queued.values().min_by_key(urgency).copied() else {
                break;
            };
            let ModelLoad { id, bytes, .. } = next.load;
            self.queued.swap_remove(&id);
            self.running.insert(id, bytes);
            self.level -= i128::from(bytes) * i128::from(MILLIS_PER_SECOND);
            started.push(id);
        }
        started
    }
}
