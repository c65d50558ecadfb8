//! Model loads, started no faster than the weight store serves them.
//!
//! A token bucket in bytes; a load starts when the bucket isn't overdrawn and takes its whole size at once. The more
//! urgent load goes first, then the one that waits longer.

use base::Millis;
use indexmap::IndexMap;

/// Milliseconds in a second.
const SECOND: u64 = 1_000;

/// How urgent a load is; the first is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// An endpoint lacks capacity now.
    Short,
    /// A replica that is leaving is to be replaced.
    Replace,
    /// A rollout needs replicas of its version.
    Rollout,
    /// Capacity for later.
    Ahead,
}

/// A load that is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The caller's identifier.
    pub id: u64,
    /// Bytes to fetch.
    pub bytes: u64,
    /// How urgent it is.
    pub urgency: Urgency,
}

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A load is wanted, or wanted with another urgency.
    Want(Load),
    /// A load isn't wanted any more, has ended or has failed.
    Drop(u64),
    /// Time passes.
    Tick,
}

/// The weight store's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Bytes a second.
    pub bytes: u64,
    /// Bytes that may be taken at once after a quiet time.
    pub burst: u64,
    /// Most loads under way.
    pub loads: usize,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    load: Load,
    number: u64,
}

/// The loads that wait and those under way.
#[derive(Clone, Debug)]
pub struct Pace {
    rate: Rate,
    /// Bytes in the bucket times a thousand; below zero while it is overdrawn.
    level: i128,
    filled: Millis,
    waiting: IndexMap<u64, Waiting>,
    running: IndexMap<u64, u64>,
    number: u64,
}

impl Pace {
    /// A full bucket.
    pub fn new(rate: Rate) -> Self {
        Self {
            level: i128::from(rate.burst) * i128::from(SECOND),
            filled: Millis::ZERO,
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            number: 0,
            rate,
        }
    }

    /// Number of loads that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of loads under way.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Takes one event; returns the loads to start now.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<u64> {
        self.fill(now);
        match event {
            Event::Want(load) => self.want(load),
            Event::Drop(id) => self.drop_load(id),
            Event::Tick => {}
        }
        self.start()
    }

    fn fill(&mut self, now: Millis) {
        let grown = i128::from(now.since(self.filled).0) * i128::from(self.rate.bytes);
        let most = i128::from(self.rate.burst) * i128::from(SECOND);
        self.level = (self.level + grown).min(most);
        self.filled = now.max(self.filled);
    }

    fn want(&mut self, load: Load) {
        if self.running.contains_key(&load.id) {
            return;
        }
        self.number += 1;
        let number = self.waiting.get(&load.id).map_or(self.number, |it| it.number);
        self.waiting.insert(load.id, Waiting { load, number });
    }

    fn drop_load(&mut self, id: u64) {
        self.waiting.swap_remove(&id);
        self.running.swap_remove(&id);
    }

    fn start(&mut self) -> Vec<u64> {
        let mut started = Vec::new();
        while self.level > 0 && self.running.len() < self.rate.loads {
            let order = |it: &&Waiting| (it.load.urgency, it.number);
            let Some(next) = self.waiting.values().min_by_key(order).copied() else {
                break;
            };
            let Load { id, bytes, .. } = next.load;
            self.waiting.swap_remove(&id);
            self.running.insert(id, bytes);
            self.level -= i128::from(bytes) * i128::from(SECOND);
            started.push(id);
        }
        started
    }
}
