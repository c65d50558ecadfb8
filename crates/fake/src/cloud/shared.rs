//! State shared by the request handlers.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::Millis;
use indexmap::IndexMap;
use tokio::sync::Notify;

use super::server::{Server, Template};
use super::{Faults, Notice, Start, Vm, fleet::Fleet};
use crate::clock::Clock;
use crate::net::Gate;
use crate::{Error, Handle};

/// State of one server.
#[derive(Debug)]
pub struct Shared {
    pub gate: Arc<Gate>,
    pub clock: Clock,
    /// Notified when a notice is issued.
    pub notice_issued: Notify,
    ip: IpAddr,
    boot_time: Millis,
    templates: IndexMap<String, Template>,
    state: Mutex<State>,
}

/// State protected by the mutex.
#[derive(Debug)]
pub struct State {
    pub fleet: Fleet,
    pub faults: Faults,
    /// Replicas started by the fake cloud, by VM id.
    handles: IndexMap<String, Handle>,
    started_count: u64,
}

impl Shared {
    pub fn new(server: Server, ip: IpAddr) -> Self {
        let fleet = Fleet::new(server.lag, server.vms);
        Self {
            gate: Arc::default(),
            clock: Clock::new(),
            notice_issued: Notify::new(),
            ip,
            boot_time: server.boot_time,
            templates: server.templates,
            state: Mutex::new(State {
                fleet,
                faults: Faults::default(),
                handles: IndexMap::new(),
                started_count: 0,
            }),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if let Some(lag) = faults.lag_ms {
            state.fleet.set_lag(Millis(lag));
        }
        state.faults = faults;
    }

    /// Returns the notices with numbers above `after` that are visible now.
    pub fn notices(&self, after: u64) -> Vec<Notice> {
        let now = self.clock.now();
        let state = self.lock();
        let lag = Millis(state.faults.notice_lag_ms);
        state.fleet.notices(now, after, lag)
    }

    /// Removes the VMs whose notice period has ended.
    pub fn remove_reclaimed(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        for id in state.fleet.remove_reclaimed(now) {
            state.handles.shift_remove(&id);
        }
    }

    /// Removes a VM immediately. Returns false if it does not exist.
    pub fn remove(&self, id: &str) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        state.handles.shift_remove(id);
        state.fleet.remove(now, id)
    }

    /// Starts a VM, or returns `None` if the endpoint has no template.
    /// The VM is listed once it has booted and loaded its weights.
    pub async fn start(self: &Arc<Self>, start: Start) -> Result<Option<Vm>, Error> {
        let Some(template) = self.templates.get(&start.endpoint) else {
            return Ok(None);
        };
        let load_time = template.reserve_load_time();
        let handle = template.launch(self.ip, &start).await?;
        let mut state = self.lock();
        state.started_count += 1;
        let vm = Vm {
            id: format!("vm-{}", state.started_count),
            endpoint: start.endpoint,
            zone: start.zone,
            class: start.class,
            reclaimable: start.reclaimable,
            addr: handle.addr().to_string(),
            version: start.version,
            model: start.model,
            incarnation: format!("{:016x}", state.started_count),
            ..Vm::default()
        };
        state.handles.insert(vm.id.clone(), handle);
        drop(state);
        tokio::spawn(Arc::clone(self).list_after(vm.clone(), self.boot_time + load_time));
        Ok(Some(vm))
    }

    async fn list_after(self: Arc<Self>, vm: Vm, delay: Millis) {
        tokio::time::sleep(delay.as_duration()).await;
        let now = self.clock.now();
        let mut state = self.lock();
        // A VM that was stopped while booting is never listed.
        if state.handles.contains_key(&vm.id) {
            state.fleet.insert(now, vm);
        }
    }
}

impl Template {
    fn reserve_load_time(&self) -> Millis {
        match self {
            Self::Engine(engine) => engine.reserve_load_time(),
            Self::Service(_) => Millis::ZERO,
        }
    }

    async fn launch(&self, ip: IpAddr, start: &Start) -> Result<Handle, Error> {
        let addr = SocketAddr::new(ip, 0);
        match self.clone() {
            Self::Engine(engine) if start.version.is_empty() => engine.start(addr).await,
            Self::Engine(engine) => engine.with_version(&start.version).start(addr).await,
            Self::Service(service) if start.version.is_empty() => service.start(addr).await,
            Self::Service(service) => service.with_version(&start.version).start(addr).await,
        }
    }
}
