//! State shared by the request handlers and the driver.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use tokio::sync::{Notify, mpsc};

use super::completion::Export;
use super::log::Log;
use super::model::{Engine, Output, Sequence, prompt};
use super::reply::Reply;
use super::server::Server;
use super::stream::Generation;
use crate::clock::Clock;
use crate::fault::Injector;
use crate::lagged::Lagged;
use crate::net::Gate;
use crate::replica::{Load, Order, Orders, Run};

/// State of one server.
#[derive(Debug)]
pub struct Shared {
    pub gate: Arc<Gate>,
    pub injector: Arc<Injector>,
    pub clock: Clock,
    /// Notified when a sequence is submitted, to wake the driver.
    pub submitted: Notify,
    server: Server,
    state: Mutex<State>,
}

/// State protected by the mutex.
#[derive(Debug)]
pub struct State {
    pub engine: Engine,
    pub orders: Orders,
    pub log: Log,
    pub runs: Vec<Run>,
    /// Previous response, for the `crossed` fault.
    pub previous: Option<Reply>,
    /// Active dispatches by dispatch id.
    pub dispatches: IndexMap<String, Dispatch>,
    senders: IndexMap<u64, mpsc::UnboundedSender<Output>>,
    last_id: u64,
    reports: Lagged<Load>,
}

/// Sequence of an active dispatch.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    pub id: u64,
    /// Hash of the prompt.
    pub prompt: u64,
}

impl Shared {
    pub fn new(server: Server) -> Self {
        let gate = Arc::<Gate>::default();
        let rng = server.seed.derive(1).generator();
        let state = State {
            engine: Engine::new(server.config.clone()),
            orders: Orders::new(&server.version, server.fencing),
            log: Log::new(server.lag, server.gaps, rng),
            runs: Vec::new(),
            previous: None,
            dispatches: IndexMap::new(),
            senders: IndexMap::new(),
            last_id: 0,
            reports: Lagged::new(server.lag, Load::default()),
        };
        Self {
            gate: Arc::clone(&gate),
            injector: Arc::new(Injector::new(gate, server.faults.clone(), server.seed)),
            clock: Clock::new(),
            submitted: Notify::new(),
            server,
            state: Mutex::new(state),
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
        let load_time = self.server.reserve_load_time();
        let now = self.clock.now();
        self.lock().orders.receive(now, order, load_time)
    }

    /// Submits a sequence under a new id and returns its generation.
    pub fn submit(self: &Arc<Self>, reply: &Reply, sequence: Sequence) -> Generation {
        let (sender, outputs) = mpsc::unbounded_channel();
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.senders.insert(id, sender);
        if let Some(dispatch) = &reply.echo.dispatch {
            let prompt = prompt::hash(reply.prompt.as_bytes());
            state.dispatches.insert(dispatch.clone(), Dispatch { id, prompt });
        }
        state
            .engine
            .submit(self.clock.micros(), Sequence { id, ..sequence });
        drop(state);
        self.publish_load();
        self.submitted.notify_one();
        Generation::new(Arc::clone(self), id, outputs)
    }

    /// Cancels a sequence. Returns false if it has already ended.
    pub fn cancel(&self, id: u64) -> bool {
        let mut state = self.lock();
        state.remove_sequence(id);
        state.engine.cancel(id)
    }

    /// Finishes due iterations, delivers their outputs and returns the end of the next iteration in microseconds.
    pub fn advance(&self) -> Option<u64> {
        let mut outputs = Vec::new();
        let mut state = self.lock();
        state.engine.advance(self.clock.micros(), &mut outputs);
        for output in outputs {
            state.deliver(output);
        }
        let now = self.clock.now();
        for change in state.engine.take_changes() {
            state.log.push(now, change);
        }
        let next_due = state.engine.next_due();
        drop(state);
        self.publish_load();
        next_due
    }

    /// Returns the load report, delayed by the lag.
    pub fn report(&self) -> Load {
        self.publish_load();
        let now = self.clock.now();
        self.lock().reports.visible_at(now).clone()
    }

    fn publish_load(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let load = state.load();
        state.reports.push(now, load);
        // Reading drops the past states that are no longer visible.
        state.reports.visible_at(now);
    }
}

impl State {
    /// Assigns a number to a run and records it.
    pub fn record(&mut self, run: Run) {
        let number = self.runs.len() as u64 + 1;
        self.runs.push(Run { number, ..run });
    }

    /// Exports the KV cache of an active dispatch, as far as it has been computed.
    pub fn export(&self, dispatch: &str) -> Option<Export> {
        let Dispatch { id, prompt } = *self.dispatches.get(dispatch)?;
        let tokens = self.engine.computed(id)?;
        Some(Export { prompt, tokens })
    }

    fn deliver(&mut self, output: Output) {
        let (id, done) = match output {
            Output::Token { id, .. } => (id, false),
            Output::Done { id } => (id, true),
        };
        if let Some(sender) = self.senders.get(&id) {
            // Dropping the receiver cancels the sequence, so a failed send needs no handling.
            let _result = sender.send(output);
        }
        if done {
            self.remove_sequence(id);
        }
    }

    fn remove_sequence(&mut self, id: u64) {
        self.senders.swap_remove(&id);
        self.dispatches.retain(|_, dispatch| dispatch.id != id);
    }

    fn load(&self) -> Load {
        Load {
            version: self.orders.version.clone(),
            running: self.engine.running() as u64,
            queued: self.engine.queued() as u64,
            capacity: self.engine.config().max_running as u64,
            cached_blocks: self.engine.cached_blocks() as u64,
        }
    }
}
