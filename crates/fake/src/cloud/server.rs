//! Settings of the stand-in and its start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use indexmap::IndexMap;

use super::route;
use super::shared::Shared;
use super::vm::Vm;
use crate::{Error, Handle, engine, service};

/// Period at which VMs whose notice has ended are taken away.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(20);

/// What a started VM runs.
#[derive(Clone, Debug)]
pub enum Template {
    /// A model engine.
    Engine(engine::Server),
    /// A plain service.
    Service(service::Server),
}

/// A cloud to be started.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub(super) lag: Millis,
    pub(super) boot_time: Millis,
    pub(super) vms: Vec<Vm>,
    pub(super) templates: IndexMap<String, Template>,
}

impl Server {
    /// A cloud without VMs whose list does not lag.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lag of the VM list.
    pub fn with_lag(self, lag: Millis) -> Self {
        Self { lag, ..self }
    }

    /// Span from a start until the VM is listed, without the loading of weights.
    pub fn with_boot_time(self, boot_time: Millis) -> Self {
        Self { boot_time, ..self }
    }

    /// A VM that runs already.
    pub fn with_vm(mut self, vm: Vm) -> Self {
        self.vms.push(vm);
        self
    }

    /// What VMs started for an endpoint run; without one, a start for it is refused with 404.
    pub fn with_template(mut self, endpoint: &str, template: Template) -> Self {
        self.templates.insert(endpoint.to_owned(), template);
        self
    }

    /// Listens and serves by tasks.
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
