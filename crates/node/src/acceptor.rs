//! Listener for callers that stops accepting when the incarnation ends.

use std::net::SocketAddr;

use axum::serve::Listener;
use tokio::net::{TcpListener, TcpStream};

use crate::lifecycle::{Lifecycle, Phase};

/// Accepts connections until [`Phase::Ended`], then closes its handle to the socket.
#[derive(Debug)]
pub struct Acceptor {
    socket: Option<TcpListener>,
    address: SocketAddr,
    lifecycle: Lifecycle,
}

impl Acceptor {
    /// Accepts on `socket` until `lifecycle` reaches [`Phase::Ended`].
    pub fn new(socket: TcpListener, lifecycle: Lifecycle) -> std::io::Result<Self> {
        let address = socket.local_addr()?;
        Ok(Self {
            socket: Some(socket),
            address,
            lifecycle,
        })
    }
}

impl Listener for Acceptor {
    type Io = TcpStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        if let Some(socket) = &mut self.socket {
            tokio::select! {
                accepted = Listener::accept(socket) => return accepted,
                () = self.lifecycle.wait_for(Phase::Ended) => {}
            }
        }
        // From here on, new connections are refused, or wait for the next incarnation if it shares the
        // socket.
        self.socket = None;
        std::future::pending().await
    }

    fn local_addr(&self) -> std::io::Result<Self::Addr> {
        Ok(self.address)
    }
}
