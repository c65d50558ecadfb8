//! Configuration and start of the server.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{Millis, Seed};

use super::model::Config;
use super::shared::Shared;
use super::{driver, route};
use crate::fault::{Faults, Trigger};
use crate::replica::WeightStore;
use crate::replica::orders::Fencing;
use crate::{Error, Handle};

/// Configuration of a fake engine.
#[derive(Clone, Debug)]
pub struct Server {
    pub(super) config: Config,
    pub(super) version: String,
    pub(super) lag: Millis,
    pub(super) gaps: Trigger,
    pub(super) fencing: Fencing,
    pub(super) weights: Option<Arc<WeightStore>>,
    pub(super) weights_mb: u64,
    pub(super) faults: Faults,
    pub(super) seed: Seed,
}

impl Default for Server {
    fn default() -> Self {
        Self::new()
    }
}

impl Server {
    /// Creates an engine at version `v1` with default timing, no lag and no load time.
    pub fn new() -> Self {
        Self {
            config: Config::default(),
            version: "v1".to_owned(),
            lag: Millis::ZERO,
            gaps: Trigger::default(),
            fencing: Fencing::Checked,
            weights: None,
            weights_mb: 0,
            faults: Faults::default(),
            seed: Seed(0),
        }
    }

    /// Sets the timing and capacity.
    pub fn with_config(self, config: Config) -> Self {
        Self { config, ..self }
    }

    /// Sets the version to serve.
    pub fn with_version(self, version: &str) -> Self {
        let version = version.to_owned();
        Self { version, ..self }
    }

    /// Sets the lag of load reports and cache events.
    pub fn with_lag(self, lag: Millis) -> Self {
        Self { lag, ..self }
    }

    /// Sets which cache events are lost.
    pub fn with_gaps(self, gaps: Trigger) -> Self {
        Self { gaps, ..self }
    }

    /// Sets whether fencing tokens are checked.
    pub fn with_fencing(self, fencing: Fencing) -> Self {
        Self { fencing, ..self }
    }

    /// Sets the weight store and the size of a version's weights in megabytes.
    pub fn with_weights(self, weights: Arc<WeightStore>, size_mb: u64) -> Self {
        Self {
            weights: Some(weights),
            weights_mb: size_mb,
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

    /// Reserves the weight store for this engine's weights and returns the time until they are loaded.
    pub(crate) fn reserve_load_time(&self) -> Millis {
        let load_time = self
            .weights
            .as_ref()
            .map(|weights| weights.reserve(self.weights_mb));
        Millis(load_time.unwrap_or_default().as_millis() as u64)
    }

    /// Binds the address and serves requests in background tasks.
    pub async fn start(self, addr: SocketAddr) -> Result<Handle, Error> {
        let shared = Arc::new(Shared::new(self));
        let gate = Arc::clone(&shared.gate);
        let handle = Handle::serve(addr, gate, route::router(Arc::clone(&shared))).await?;
        let driver = tokio::spawn(driver::drive(shared));
        Ok(handle.with_task(driver.abort_handle()))
    }
}
