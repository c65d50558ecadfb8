//! Idle connections, by replica.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use base::Millis;
use clock::Clock;
use indexmap::IndexMap;

use super::Connection;

/// Idle time that is taken off what the replica says, so that a request does not cross its close.
const IDLE_MARGIN: Millis = Millis(500);
/// Idle time of connections whose replica says nothing.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(800);
/// Most idle connections kept to one replica.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Replica and address: an address may pass on to another replica.
type ReplicaAddress = (Arc<str>, SocketAddr);

/// Connections that are free.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    idle: Mutex<IndexMap<ReplicaAddress, Vec<Connection>>>,
}

impl Connections {
    /// No connections yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::new(IndexMap::new()),
        }
    }

    /// A free connection that has rested for `most_rest` at most, or `None`: then a new one is due.
    pub fn take(&self, replica: &Arc<str>, address: SocketAddr, max_idle: Millis) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&(Arc::clone(replica), address))?;
        // The last one has rested least.
        while let Some(connection) = connections.pop() {
            if !is_usable(&connection, now) {
                continue;
            }
            if now.since(connection.idle_since) > max_idle {
                connections.push(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }

    /// Gives a connection back after a whole answer. `idle` is how long the replica keeps it.
    pub fn put(
        &self,
        replica: &Arc<str>,
        address: SocketAddr,
        mut connection: Connection,
        idle: Option<std::time::Duration>,
    ) {
        let idle_timeout = idle.map_or(DEFAULT_IDLE_TIMEOUT, |idle| {
            Millis((idle.as_millis() as u64).saturating_sub(IDLE_MARGIN.0))
        });
        connection.used = true;
        connection.idle_since = self.clock.now();
        connection.idle_timeout = idle_timeout;
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = all.entry((Arc::clone(replica), address)).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|connection| is_usable(connection, now));
            !connections.is_empty()
        });
    }
}

fn is_usable(connection: &Connection, now: Millis) -> bool {
    now.since(connection.idle_since) < connection.idle_timeout && !connection.sender.is_closed()
}
