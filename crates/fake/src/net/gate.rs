//! Control over all connections of one server.

use std::sync::{Arc, Mutex, PoisonError, Weak};

use tokio::sync::Notify;
use tokio::time::Instant;

use super::Connection;

/// Refuses new connections to one server and resets open ones.
#[derive(Debug, Default)]
pub struct Gate {
    state: Mutex<State>,
    refusal_started: Notify,
}

#[derive(Debug, Default)]
struct State {
    refused_until: Option<Instant>,
    connections: Vec<Weak<Connection>>,
}

impl Gate {
    /// Number of tracked connections at which closed ones are pruned.
    const PRUNE_THRESHOLD: usize = 256;

    /// Resets all connections and refuses new ones until `until`.
    pub fn refuse(&self, until: Instant) {
        self.lock().refused_until = Some(until);
        self.reset_all();
        self.refusal_started.notify_waiters();
    }

    /// Returns the end of the refusal if connections are currently refused.
    pub fn refused_until(&self) -> Option<Instant> {
        self.lock().refused_until.filter(|until| Instant::now() < *until)
    }

    /// Resets all open connections.
    pub fn reset_all(&self) {
        let connections = std::mem::take(&mut self.lock().connections);
        for connection in connections.iter().filter_map(Weak::upgrade) {
            connection.reset();
        }
    }

    /// Waits until a refusal starts.
    pub(crate) async fn wait_for_refusal(&self) {
        self.refusal_started.notified().await;
    }

    pub(crate) fn connection(&self) -> Arc<Connection> {
        let connection = Arc::new(Connection::default());
        let mut state = self.lock();
        if state.connections.len() >= Self::PRUNE_THRESHOLD {
            state
                .connections
                .retain(|connection| connection.strong_count() > 0);
        }
        state.connections.push(Arc::downgrade(&connection));
        connection
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
