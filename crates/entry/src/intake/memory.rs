//! The memory of requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ::intake::{Budget, Decision, Key};
use clock::Clock;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use super::Holding;

/// A budget of which all requests of a node take their memory.
#[derive(Debug)]
pub struct Memory {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    limit: usize,
    /// Notified when a request is to be given up.
    evictions: SecondaryMap<Key, Arc<Notify>>,
}

impl Memory {
    /// Creates a memory of this many bytes.
    pub fn new(clock: Clock, limit: usize) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                budget: Budget::new(limit),
                limit,
                evictions: SecondaryMap::new(),
            }),
        }
    }

    /// Changes the number of bytes.
    pub fn set_limit(&self, limit: usize) {
        let mut state = self.lock();
        state.limit = limit;
        state.budget.set_limit(limit);
    }

    /// Number of bytes in use, and how many may be.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.budget.used(), state.limit)
    }

    /// Begins a request of an announced size, which is 0 if it is unknown.
    pub fn hold(self: &Arc<Self>, announced: usize) -> Holding {
        let evicted = Arc::new(Notify::new());
        let key = {
            let mut state = self.lock();
            let key = state.budget.open(self.clock.now(), announced);
            state.evictions.insert(key, Arc::clone(&evicted));
            key
        };
        Holding::new(Arc::clone(self), key, evicted)
    }

    pub(super) const fn clock(&self) -> Clock {
        self.clock
    }

    /// Asks for memory, and notifies the request that is given up for it.
    pub(super) fn grow(&self, key: Key, wanted: usize) -> Decision {
        let mut state = self.lock();
        let decision = state.budget.grow(self.clock.now(), key, wanted);
        if let Decision::Evict(victim) = decision
            && let Some(evicted) = state.evictions.get(victim)
        {
            evicted.notify_one();
        }
        decision
    }

    pub(super) fn progress(&self, key: Key) {
        self.lock().budget.progress(self.clock.now(), key);
    }

    pub(super) fn complete(&self, key: Key) -> bool {
        let mut state = self.lock();
        let is_evicted = state.budget.is_evicted(key);
        if !is_evicted {
            state.budget.complete(key);
        }
        !is_evicted
    }

    pub(super) fn close(&self, key: Key) {
        let mut state = self.lock();
        state.budget.close(key);
        state.evictions.remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
