//! Idle connections by replica.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use base::Millis;
use clock::Clock;
use indexmap::IndexMap;

use super::Connection;
use super::connection::Server;

/// Subtracted from the idle timeout of the replica, so that a request does not race with the replica closing the
/// connection.
const IDLE_MARGIN: Millis = Millis(500);
/// Idle timeout of connections whose replica reports none.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(800);
/// Maximum number of idle connections kept per replica.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Pool of idle connections.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    /// Maximum number of idle connections in all, since each takes a descriptor.
    max_idle: AtomicUsize,
    idle: Mutex<Idle>,
}

#[derive(Debug, Default)]
struct Idle {
    connections: IndexMap<Server, Vec<Connection>>,
    /// Number of connections to all servers.
    count: usize,
}

impl Connections {
    /// Creates an empty pool.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            max_idle: AtomicUsize::new(usize::MAX),
            idle: Mutex::default(),
        }
    }

    /// Bounds the number of idle connections in all.
    pub fn set_max_idle(&self, max_idle: usize) {
        self.max_idle.store(max_idle, Ordering::Relaxed);
    }

    /// Takes a connection that has been idle for at most `max_idle`; `None` if there is none and a new one must be
    /// opened.
    pub fn take(&self, replica: &Arc<str>, address: SocketAddr, max_idle: Millis) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let Idle { connections, count } = &mut *idle;
        let connections = connections.get_mut(&(Arc::clone(replica), address))?;
        // The last connection has been idle for the shortest time.
        while let Some(connection) = connections.pop() {
            *count -= 1;
            if !is_usable(&connection, now) {
                continue;
            }
            if now.since(connection.idle_since) > max_idle {
                connections.push(connection);
                *count += 1;
                return None;
            }
            return Some(connection);
        }
        None
    }

    /// Returns a connection to the pool after a complete response. `idle` is how long the replica keeps it open. It is closed if
    /// it can't take another request, for which the next one would wait.
    pub fn put(&self, mut connection: Connection, idle: Option<std::time::Duration>) {
        if connection.upload.is_spent() {
            return;
        }
        connection.upload.set_active(false);
        let idle_timeout = idle.map_or(DEFAULT_IDLE_TIMEOUT, |idle| {
            Millis((idle.as_millis() as u64).saturating_sub(IDLE_MARGIN.0))
        });
        connection.used = true;
        connection.idle_since = self.clock.now();
        connection.idle_timeout = idle_timeout;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let Idle { connections, count } = &mut *idle;
        let connections = connections.entry(connection.server.clone()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS && *count < self.max_idle.load(Ordering::Relaxed) {
            connections.push(connection);
            *count += 1;
        }
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        *self.idle.lock().unwrap_or_else(PoisonError::into_inner) = Idle::default();
    }

    /// Closes the connections that reached their idle timeout.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.connections.retain(|_, connections| {
            connections.retain(|connection| is_usable(connection, now));
            !connections.is_empty()
        });
        idle.count = idle.connections.values().map(Vec::len).sum();
    }
}

fn is_usable(connection: &Connection, now: Millis) -> bool {
    now.since(connection.idle_since) < connection.idle_timeout && !connection.sender.is_closed()
}
