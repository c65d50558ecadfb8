//! State shared by the request handlers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::Millis;
use tokio::sync::Semaphore;

use super::{Ledger, Server};
use crate::clock::Clock;
use crate::fault::Injector;
use crate::lagged::Lagged;
use crate::net::Gate;
use crate::replica::{Buffered, Load, Order, Orders};

/// State of one server.
#[derive(Debug)]
pub struct Shared {
    pub gate: Arc<Gate>,
    pub injector: Arc<Injector>,
    pub slots: Semaphore,
    pub work_time: Millis,
    capacity: u64,
    load_time: Millis,
    clock: Clock,
    state: Mutex<State>,
}

/// State protected by the mutex.
#[derive(Debug)]
pub struct State {
    pub ledger: Ledger,
    pub orders: Orders,
    /// Previous response, for the `crossed` fault.
    pub previous: Option<Buffered>,
    reports: Lagged<Load>,
}

impl Shared {
    pub fn new(server: Server) -> Self {
        let gate = Arc::<Gate>::default();
        Self {
            gate: Arc::clone(&gate),
            injector: Arc::new(Injector::new(gate, server.faults, server.seed)),
            slots: Semaphore::new(server.capacity),
            work_time: server.work_time,
            capacity: server.capacity as u64,
            load_time: server.load_time,
            clock: Clock::new(),
            state: Mutex::new(State {
                ledger: Ledger::default(),
                orders: Orders::new(&server.version, server.fencing),
                previous: None,
                reports: Lagged::new(server.lag, Load::default()),
            }),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.orders.finish_loads(self.clock.now());
        state
    }

    /// Returns the version that is currently served.
    pub fn version(&self) -> String {
        self.lock().orders.version.clone()
    }

    /// Processes an order. Returns false if its fencing token is refused.
    pub fn order(&self, order: Order) -> bool {
        let now = self.clock.now();
        self.lock().orders.receive(now, order, self.load_time)
    }

    /// Publishes the current load for later reports.
    pub fn publish_load(&self) {
        let now = self.clock.now();
        let load = self.current_load();
        self.lock().reports.push(now, load);
    }

    /// Returns the load report, delayed by the lag.
    pub fn report(&self) -> Load {
        self.publish_load();
        let now = self.clock.now();
        self.lock().reports.visible_at(now).clone()
    }

    fn current_load(&self) -> Load {
        let in_flight = self.injector.in_flight();
        Load {
            version: self.version(),
            running: in_flight.min(self.capacity),
            queued: in_flight.saturating_sub(self.capacity),
            capacity: self.capacity,
            cached_blocks: 0,
        }
    }
}
