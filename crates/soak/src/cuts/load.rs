//! Callers that send requests at a rate, each once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::{Millis, Seed};
use clock::Clock;
use rand::RngExt;
use standin::caller::Caller;
use tokio::time::{sleep, timeout};

use super::report::{Class, Try};

/// Time beyond its deadline after which a caller gives a request up.
const PATIENCE: Duration = Duration::from_millis(500);
/// Maximum idle time of a connection that a caller uses again.
const MAX_IDLE: Millis = Millis(5_000);

/// Connections that are open and when they became idle, by node.
type IdleCallers = HashMap<usize, Vec<(Millis, Caller)>>;

/// Requests to the nodes, and what became of them.
#[derive(Clone, Debug)]
pub struct Load {
    pub clock: Clock,
    addresses: Arc<[SocketAddr]>,
    idle: Arc<Mutex<IdleCallers>>,
    tries: Arc<Mutex<Vec<Try>>>,
}

impl Load {
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self {
            clock: Clock::new(),
            addresses: addresses.into(),
            idle: Arc::default(),
            tries: Arc::default(),
        }
    }

    /// Sends requests at a rate per second until the task is aborted.
    pub async fn send(self, seed: Seed, rate: f64) {
        let mut generator = seed.generator();
        let start = self.clock.now();
        let mut due = 0.0;
        for number in 0_u64.. {
            let share: f64 = generator.random_range(f64::EPSILON..1.0);
            due -= share.ln() * 1_000.0 / rate;
            let elapsed = self.clock.now().since(start).0 as f64;
            if due > elapsed {
                sleep(Duration::from_secs_f64((due - elapsed) / 1_000.0)).await;
            }
            let node = generator.random_range(0..self.addresses.len());
            let class = Class::draw(&mut generator);
            tokio::spawn(self.clone().request(node, class, format!("r-{number}")));
        }
    }

    /// Sends a request and records what became of it.
    pub async fn request(self, node: usize, class: Class, id: String) {
        let sent = self.clock.now();
        let call = timeout(class.deadline() + PATIENCE, self.call(node, class, &id));
        let (status, reason) = call.await.unwrap_or((0, "no response".to_owned()));
        self.tries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Try {
                id,
                node,
                class,
                sent,
                took: self.clock.now().since(sent),
                status,
                reason,
            });
    }

    /// Status and reason of a response; the status is 0 if there is none, or none that is complete.
    async fn call(&self, node: usize, class: Class, id: &str) -> (u16, String) {
        let caller = match self.take(node) {
            Some(caller) => Ok(caller),
            None => Caller::connect(self.addresses[node]).await,
        };
        let Ok(mut caller) = caller else {
            return (0, "not connected".to_owned());
        };
        let path = format!("/{}/{id}", class.route());
        let Some(response) = caller.send(&path, id, "key-1", class.deadline()).await else {
            return (0, "closed".to_owned());
        };
        let Some(body) = response.body else {
            return (0, "broken off".to_owned());
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(node).or_default().push((self.clock.now(), caller));
        (response.status.as_u16(), body)
    }

    fn take(&self, node: usize) -> Option<Caller> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let callers = idle.get_mut(&node)?;
        callers.retain(|(since, caller)| now.since(*since) < MAX_IDLE && !caller.is_closed());
        callers.pop().map(|(_, caller)| caller)
    }

    /// Whether a node serves a request of each endpoint.
    pub async fn is_served(&self, node: usize) -> bool {
        for class in [Class::Safe, Class::Stream] {
            if self.call(node, class, "probe").await.0 != 200 {
                return false;
            }
        }
        true
    }

    /// What became of the requests so far.
    pub fn tries(&self) -> Vec<Try> {
        self.tries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
