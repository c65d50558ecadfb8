//! State shared by the request handlers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::Millis;
use base::seed::Generator;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::limiter::Limiter;
use super::{Counts, Faults, Server, Store};
use crate::clock::Clock;
use crate::net::Gate;

/// State of one server.
#[derive(Debug)]
pub struct Shared {
    pub gate: Arc<Gate>,
    pub written: Notify,
    clock: Clock,
    state: Mutex<State>,
}

/// State protected by the mutex.
#[derive(Debug)]
pub struct State {
    pub store: Store,
    pub faults: Faults,
    pub counts: Counts,
    pub read_limiter: Limiter,
    pub write_limiter: Limiter,
    pub rng: Generator,
}

impl Shared {
    pub fn new(server: Server) -> Self {
        Self {
            gate: Arc::default(),
            written: Notify::new(),
            clock: Clock::new(),
            state: Mutex::new(State {
                store: Store::new(server.history_limit),
                faults: server.faults,
                counts: Counts::default(),
                read_limiter: Limiter::default(),
                write_limiter: Limiter::default(),
                rng: server.seed.generator(),
            }),
        }
    }

    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes expired leases and wakes the watches if there were any.
    pub fn expire_leases(&self) {
        let now = self.now();
        if self.lock().store.expire_leases(now) {
            self.written.notify_waiters();
        }
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        if faults.refuse_ms > 0 {
            let duration = Duration::from_millis(faults.refuse_ms);
            self.gate.refuse(Instant::now() + duration);
        }
        let mut state = self.lock();
        if faults.compact {
            state.store.compact();
        }
        state.faults = faults;
        drop(state);
        self.written.notify_waiters();
    }
}
