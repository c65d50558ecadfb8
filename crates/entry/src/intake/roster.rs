//! The connections of clients.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ::intake::{Allowance, connection};
use base::Millis;
use slotmap::{SlotMap, new_key_type};

use crate::serve::Activity;

new_key_type! {
    struct Key;
}

/// An address of the node, by what it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Address {
    /// Requests of callers.
    Front,
    /// Address lookups.
    Directory,
    /// Calls of other nodes.
    Peers,
    /// Readiness checks.
    Ready,
    /// Metrics.
    Metrics,
}

impl Address {
    /// Label used in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Front => "front",
            Self::Directory => "directory",
            Self::Peers => "peers",
            Self::Ready => "ready",
            Self::Metrics => "metrics",
        }
    }

    /// Maximum number of connections.
    const fn limit(self, allowance: &Allowance) -> usize {
        match self {
            Self::Front => allowance.front_connections,
            Self::Directory => allowance.directory_connections,
            Self::Peers => allowance.peer_connections,
            Self::Ready | Self::Metrics => allowance.operator_connections,
        }
    }
}

/// Open connections to one address.
#[derive(Debug)]
pub struct Roster {
    address: Address,
    connections: Mutex<SlotMap<Key, Arc<Activity>>>,
}

/// A connection's place in the roster, until dropped.
#[derive(Debug)]
pub struct Seat {
    roster: Arc<Roster>,
    key: Key,
}

/// Whether a connection was closed for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// There was room.
    None,
    /// An idle or stalled one.
    Other,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new(address: Address) -> Self {
        Self {
            address,
            connections: Mutex::default(),
        }
    }

    /// Number of open connections, and how many there may be.
    pub fn usage(&self, allowance: &Allowance) -> (usize, usize) {
        (self.lock().len(), self.address.limit(allowance))
    }

    /// Adds a connection, for which another one is closed if there are too many; `None` if none can be.
    pub fn admit(
        self: &Arc<Self>,
        now: Millis,
        allowance: &Allowance,
        activity: &Arc<Activity>,
    ) -> Option<(Seat, Closed)> {
        let mut connections = self.lock();
        let mut closed = Closed::None;
        if connections.len() >= self.address.limit(allowance) {
            let states = connections.iter().map(|(key, it)| (key, it.state()));
            let victim = connection::victim(now, states)?;
            if let Some(victim) = connections.remove(victim) {
                victim.close();
            }
            closed = Closed::Other;
        }
        let key = connections.insert(Arc::clone(activity));
        self.report(connections.len());
        drop(connections);
        let roster = Arc::clone(self);
        Some((Seat { roster, key }, closed))
    }

    /// Closes the slowest reader, if there is one.
    pub fn close_slow_reader(&self, now: Millis) -> bool {
        let mut connections = self.lock();
        let states = connections.iter().map(|(key, it)| (key, it.state()));
        let Some(reader) = connection::slow_reader(now, states) else {
            return false;
        };
        if let Some(reader) = connections.remove(reader) {
            reader.close();
        }
        true
    }

    fn report(&self, open: usize) {
        metrics::gauge!("bilberrylatch_client_connections", "address" => self.address.label())
            .set(open as f64);
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<Key, Arc<Activity>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut connections = self.roster.lock();
        connections.remove(self.key);
        self.roster.report(connections.len());
    }
}
