//! Listening port that can refuse connections for a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time;

use super::{Gate, Stream};

/// Delay after a failed accept or bind.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Port controlled by a gate; closed while the gate refuses connections.
#[derive(Debug)]
pub struct Listener {
    addr: SocketAddr,
    inner: Option<TcpListener>,
    gate: Arc<Gate>,
}

impl Listener {
    /// Binds the address; port 0 picks a free port.
    pub async fn bind(addr: SocketAddr, gate: Arc<Gate>) -> io::Result<Self> {
        let inner = TcpListener::bind(addr).await?;
        Ok(Self {
            addr: inner.local_addr()?,
            inner: Some(inner),
            gate,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    async fn try_accept(&mut self) -> io::Result<Option<(Stream, SocketAddr)>> {
        if let Some(until) = self.gate.refused_until() {
            self.inner = None;
            time::sleep_until(until).await;
            return Ok(None);
        }
        if self.inner.is_none() {
            self.inner = Some(TcpListener::bind(self.addr).await?);
        }
        let Some(inner) = &self.inner else { return Ok(None) };
        let accepted = tokio::select! {
            accepted = inner.accept() => accepted?,
            () = self.gate.wait_for_refusal() => return Ok(None),
        };
        accepted.0.set_nodelay(true)?;
        Ok(Some((
            Stream::new(accepted.0, self.gate.connection()),
            accepted.1,
        )))
    }
}

impl axum::serve::Listener for Listener {
    type Io = Stream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        loop {
            match self.try_accept().await {
                Ok(Some(accepted)) => return accepted,
                Ok(None) => {}
                Err(cause) => {
                    log::warn!("cannot accept connections on {}: {cause}", self.addr);
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        Ok(self.addr)
    }
}
