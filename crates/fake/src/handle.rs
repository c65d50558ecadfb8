//! Handle of a running fake server.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use tokio::task::{AbortHandle, JoinHandle};

use crate::Error;
use crate::net::{Gate, Listener, Peer};

/// Running fake server. Dropping the handle stops the server and resets its connections.
#[derive(Debug)]
pub struct Handle {
    addr: SocketAddr,
    gate: Arc<Gate>,
    server: JoinHandle<()>,
    tasks: Vec<AbortHandle>,
}

impl Handle {
    /// Serves `router` on `addr` in a background task.
    pub(crate) async fn serve(addr: SocketAddr, gate: Arc<Gate>, router: Router) -> Result<Self, Error> {
        let listener = Listener::bind(addr, Arc::clone(&gate))
            .await
            .map_err(|cause| Error::Bind { addr, cause })?;
        let addr = listener.addr();
        let service = router.into_make_service_with_connect_info::<Peer>();
        let server = tokio::spawn(async move {
            if let Err(cause) = axum::serve(listener, service).await {
                log::error!("server on {addr} failed: {cause}");
            }
        });
        Ok(Self {
            addr,
            gate,
            server,
            tasks: Vec::new(),
        })
    }

    /// Adds a task to be aborted when the server stops.
    pub(crate) fn with_task(mut self, task: AbortHandle) -> Self {
        self.tasks.push(task);
        self
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Returns the gate of the server, which can refuse or reset connections.
    pub fn gate(&self) -> Arc<Gate> {
        Arc::clone(&self.gate)
    }

    /// Stops immediately, like a killed process: the port is closed and connections are reset.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.server.abort();
        for task in &self.tasks {
            task.abort();
        }
        self.gate.reset_all();
    }
}
