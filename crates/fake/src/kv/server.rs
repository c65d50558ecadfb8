//! Configuration and start of the server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Seed;

use super::shared::Shared;
use super::{Faults, route};
use crate::{Error, Handle};

/// Number of past writes that watches can read by default.
const DEFAULT_HISTORY_LIMIT: usize = 100_000;
/// Interval at which leases past their deadline are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration of a fake key-value service.
#[derive(Clone, Debug)]
pub struct Server {
    pub(super) history_limit: usize,
    pub(super) faults: Faults,
    pub(super) seed: Seed,
}

impl Default for Server {
    fn default() -> Self {
        Self::new()
    }
}

impl Server {
    /// Creates an empty service without faults.
    pub fn new() -> Self {
        Self {
            history_limit: DEFAULT_HISTORY_LIMIT,
            faults: Faults::default(),
            seed: Seed(0),
        }
    }

    /// Sets the number of past writes that watches can read. A watch from an earlier revision receives 410.
    pub fn with_history_limit(self, limit: usize) -> Self {
        Self {
            history_limit: limit,
            ..self
        }
    }

    /// Sets the initial faults.
    pub fn with_faults(self, faults: Faults) -> Self {
        Self { faults, ..self }
    }

    /// Sets the seed of random faults.
    pub fn with_seed(self, seed: Seed) -> Self {
        Self { seed, ..self }
    }

    /// Binds the address and serves requests in background tasks.
    pub async fn start(self, addr: SocketAddr) -> Result<Handle, Error> {
        let shared = Arc::new(Shared::new(self));
        let gate = Arc::clone(&shared.gate);
        let handle = Handle::serve(addr, gate, route::router(Arc::clone(&shared))).await?;
        let expiry = tokio::spawn(run_expiry(shared));
        Ok(handle.with_task(expiry.abort_handle()))
    }
}

async fn run_expiry(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        interval.tick().await;
        shared.expire_leases();
    }
}
