//! Settings of the stand-in and its start.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{Millis, Seed};

use super::route;
use super::shared::Shared;
use crate::fault::Faults;
use crate::replica::orders::Fencing;
use crate::{Error, Handle};

/// A service to be started.
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
    /// A ledger at version `v1` with room for 16 requests at once that take no time.
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

    /// Version that is served.
    pub fn with_version(self, version: &str) -> Self {
        let version = version.to_owned();
        Self { version, ..self }
    }

    /// Requests that run at once; others wait.
    pub fn with_capacity(self, capacity: usize) -> Self {
        Self { capacity, ..self }
    }

    /// Span that each run takes.
    pub fn with_work_time(self, work_time: Millis) -> Self {
        Self { work_time, ..self }
    }

    /// Lag of the load report.
    pub fn with_lag(self, lag: Millis) -> Self {
        Self { lag, ..self }
    }

    /// Span that a load of a version takes.
    pub fn with_load_time(self, load_time: Millis) -> Self {
        Self { load_time, ..self }
    }

    /// Whether fencing numbers are checked.
    pub fn with_fencing(self, fencing: Fencing) -> Self {
        Self { fencing, ..self }
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
        Handle::serve(addr, gate, route::router(shared)).await
    }
}
