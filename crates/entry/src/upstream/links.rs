//! Idle connections, by replica.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use base::Millis;
use clock::Clock;
use indexmap::IndexMap;

use super::Link;

/// Idle time that is taken off what the replica says, so that a request does not cross its close.
const IDLE_MARGIN: Millis = Millis(500);
/// Idle time of connections whose replica says nothing.
const IDLE_DEFAULT: Millis = Millis(800);
/// Most idle connections kept to one replica.
const MOST_IDLE: usize = 8;

/// Replica and address: an address may pass on to another replica.
type Place = (Arc<str>, SocketAddr);

/// Connections that are free.
#[derive(Debug)]
pub struct Links {
    clock: Clock,
    idle: Mutex<IndexMap<Place, Vec<Link>>>,
}

impl Links {
    /// No connections yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::new(IndexMap::new()),
        }
    }

    /// A free connection that has rested for `most_rest` at most, or `None`: then a new one is due.
    pub fn take(&self, replica: &Arc<str>, address: SocketAddr, most_rest: Millis) -> Option<Link> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.get_mut(&(Arc::clone(replica), address))?;
        // The last one has rested least.
        while let Some(link) = links.pop() {
            if !is_fresh(&link, now) {
                continue;
            }
            if now.since(link.free_since) > most_rest {
                links.push(link);
                return None;
            }
            return Some(link);
        }
        None
    }

    /// Gives a connection back after a whole answer. `idle` is how long the replica keeps it.
    pub fn put(
        &self,
        replica: &Arc<str>,
        address: SocketAddr,
        mut link: Link,
        idle: Option<std::time::Duration>,
    ) {
        let span = idle.map_or(IDLE_DEFAULT, |idle| {
            Millis((idle.as_millis() as u64).saturating_sub(IDLE_MARGIN.0))
        });
        link.used = true;
        link.free_since = self.clock.now();
        link.idle = span;
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = all.entry((Arc::clone(replica), address)).or_default();
        if links.len() < MOST_IDLE {
            links.push(link);
        }
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, links| {
            links.retain(|link| is_fresh(link, now));
            !links.is_empty()
        });
    }
}

fn is_fresh(link: &Link, now: Millis) -> bool {
    now.since(link.free_since) < link.idle && !link.sender.is_closed()
}
