//! Settings of the stand-in and its start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Seed;

use super::shared::Shared;
use super::{Faults, route};
use crate::{Error, Handle};

/// Past writes that watches can still read.
const DEFAULT_HISTORY_LIMIT: usize = 100_000;
/// Period at which lapsed leases are ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// A key-value service to be started.
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
    /// An empty service without faults.
    pub fn new() -> Self {
        Self {
            history_limit: DEFAULT_HISTORY_LIMIT,
            faults: Faults::default(),
            seed: Seed(0),
        }
    }

    /// Past writes that watches can read; a watch from before them meets 410.
    pub fn with_history_limit(self, writes: usize) -> Self {
        Self {
            history_limit: writes,
            ..self
        }
    }

    /// Faults from the start.
    pub fn with_faults(self, faults: Faults) -> Self {
        Self { faults, ..self }
    }

    /// Seed of the faults that strike by chance.
    pub fn with_seed(self, seed: Seed) -> Self {
        Self { seed, ..self }
    }

    /// Listens and serves by tasks.
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
