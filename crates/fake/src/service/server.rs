//! Configuration and start of the server.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{Millis, Seed};

use super::route;
use super::shared::Shared;
use crate::fault::Faults;
use crate::replica::orders::Fencing;
use crate::{Error, Handle};

/// Configuration of a fake service.
#[derive(Clone, Debug)]
pub struct Server {
    pub(super) version: String,
    pub(super) capacity: usize,
    pub(super) work_time: Millis,
    pub(super) lag: Millis,
    pub(super) load_time: Millis,
    pub(super) fencing: Fencing,
    pub(super) faults: Faults,
    pub(super) seed: Seed,
}

impl Default for Server {
    fn default() -> Self {
        Self::new()
    }
}

impl Server {
    /// Creates a service at version `v1` that runs up to 16 requests concurrently and adds no work time.
    pub fn new() -> Self {
        Self {
            version: "v1".to_owned(),
            capacity: 16,
            work_time: Millis::ZERO,
            lag: Millis::ZERO,
            load_time: Millis::ZERO,
            fencing: Fencing::Checked,
            faults: Faults::default(),
            seed: Seed(0),
        }
    }

    /// Sets the version to serve.
    pub fn with_version(self, version: &str) -> Self {
        let version = version.to_owned();
        Self { version, ..self }
    }

    /// Sets how many requests run concurrently; others wait.
    pub fn with_capacity(self, capacity: usize) -> Self {
        Self { capacity, ..self }
    }

    /// Sets the time that each request takes to run.
    pub fn with_work_time(self, work_time: Millis) -> Self {
        Self { work_time, ..self }
    }

    /// Sets the lag of the load report.
    pub fn with_lag(self, lag: Millis) -> Self {
        Self { lag, ..self }
    }

    /// Sets the time to load a version.
    pub fn with_load_time(self, load_time: Millis) -> Self {
        Self { load_time, ..self }
    }

    /// Sets whether fencing tokens are checked.
    pub fn with_fencing(self, fencing: Fencing) -> Self {
        Self { fencing, ..self }
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
        Handle::serve(addr, gate, route::router(shared)).await
    }
}
