//! Accepts callers' connections until the incarnation ends.

use std::net::SocketAddr;

use axum::serve::Listener;
use tokio::net::{TcpListener, TcpStream};

use crate::lifecycle::{Lifecycle, Phase};

/// Hands out connections until the end, and then lets go of the socket.
#[derive(Debug)]
pub struct Acceptor {
    socket: Option<TcpListener>,
    address: SocketAddr,
    lifecycle: Lifecycle,
}

impl Acceptor {
    /// Accepts at `socket` until `stop` says that all is handed over.
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
        // Callers are refused from here on, or wait for the next incarnation, which holds the socket, too.
        self.socket = None;
        std::future::pending().await
    }

    fn local_addr(&self) -> std::io::Result<Self::Addr> {
        Ok(self.address)
    }
}
