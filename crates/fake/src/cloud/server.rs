//! Configuration and start of the server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use indexmap::IndexMap;

use super::route;
use super::shared::Shared;
use super::vm::Vm;
use crate::{Error, Handle, engine, service};

/// Interval at which VMs whose notice period has ended are removed.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(20);

/// What a started VM runs.
#[derive(Clone, Debug)]
pub enum Template {
    /// A model engine.
    Engine(engine::Server),
    /// A plain service.
    Service(service::Server),
}

/// Configuration of a fake cloud.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub(super) lag: Millis,
    pub(super) boot_time: Millis,
    pub(super) vms: Vec<Vm>,
    pub(super) templates: IndexMap<String, Template>,
}

impl Server {
    /// Creates a cloud without VMs and without lag.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the lag of the VM list.
    pub fn with_lag(self, lag: Millis) -> Self {
        Self { lag, ..self }
    }

    /// Sets the time from the start of a VM until it is listed, excluding the time to load weights.
    pub fn with_boot_time(self, boot_time: Millis) -> Self {
        Self { boot_time, ..self }
    }

    /// Adds a VM that is already running.
    pub fn with_vm(mut self, vm: Vm) -> Self {
        self.vms.push(vm);
        self
    }

    /// Sets what VMs started for an endpoint run. Starts for endpoints without a template are refused with 404.
    pub fn with_template(mut self, endpoint: &str, template: Template) -> Self {
        self.templates.insert(endpoint.to_owned(), template);
        self
    }

    /// Binds the address and serves requests in background tasks.
    pub async fn start(self, addr: SocketAddr) -> Result<Handle, Error> {
        let shared = Arc::new(Shared::new(self, addr.ip()));
        let gate = Arc::clone(&shared.gate);
        let handle = Handle::serve(addr, gate, route::router(Arc::clone(&shared))).await?;
        let reclaimer = tokio::spawn(run_reclaimer(shared));
        Ok(handle.with_task(reclaimer.abort_handle()))
    }
}

async fn run_reclaimer(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(RECLAIM_INTERVAL);
    loop {
        interval.tick().await;
        shared.remove_reclaimed();
    }
}
