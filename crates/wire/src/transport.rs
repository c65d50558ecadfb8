//! The QUIC connections of this process to other nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexMap;
use quinn::Connection;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use crate::{Channel, Error, FRAME_LIMIT_BYTES, Frame, Identity};

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of received messages waiting to be handled. Beyond it, senders are slowed down by flow control.
const INCOMING_LIMIT: usize = 1024;

/// A message from a peer.
#[derive(Debug)]
pub enum Incoming {
    /// A frame that needs no response.
    Frame {
        /// The peer's address.
        from: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A channel that the peer opened.
    Channel {
        /// The peer's address.
        from: SocketAddr,
        /// The channel.
        channel: Channel,
    },
}

/// Error code and reason sent when connections are closed.
const CLOSE_REASON: (quinn::VarInt, &[u8]) = (quinn::VarInt::from_u32(0), b"leaving");

/// Accepts connections from peers and connects to them. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Transport {
    quic: quinn::Endpoint,
    connections: Arc<Mutex<IndexMap<SocketAddr, Connection>>>,
    /// Whether this transport is closed. Its socket may still be used by the transport that [`Self::restart`] returned.
    closed: Arc<watch::Sender<bool>>,
}

impl Transport {
    /// Binds the socket to `address` and starts to accept connections.
    pub fn bind(address: SocketAddr, identity: &Identity) -> Result<(Self, mpsc::Receiver<Incoming>), Error> {
        let mut quic = quinn::Endpoint::server(identity.server_config()?, address)
            .map_err(|error| Error::Setup(format!("{address}: {error}")))?;
        quic.set_default_client_config(identity.client_config()?);
        Ok(Self::listen(quic))
    }

    fn listen(quic: quinn::Endpoint) -> (Self, mpsc::Receiver<Incoming>) {
        let (sender, receiver) = mpsc::channel(INCOMING_LIMIT);
        let (closed, closing) = watch::channel(false);
        tokio::spawn(accept_connections(quic.clone(), sender, closing));
        let transport = Self {
            quic,
            connections: Arc::default(),
            closed: Arc::new(closed),
        };
        (transport, receiver)
    }

    /// Closes this transport and its connections, and returns a new one on the same socket.
    ///
    /// Closing and binding the socket again would be a race: the address is released only after the last task of the
    /// old transport has ended.
    pub fn restart(&self) -> (Self, mpsc::Receiver<Incoming>) {
        self.close_connections();
        Self::listen(self.quic.clone())
    }

    /// Returns the local address of the socket.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.quic
            .local_addr()
            .map_err(|error| Error::Setup(error.to_string()))
    }

    /// Sends a frame that needs no response.
    pub async fn send(&self, to: SocketAddr, frame: &Frame) -> Result<(), Error> {
        let bytes = frame.encode()?;
        let connection = self.connect(to).await?;
        let connection_lost = |cause: String| Error::ConnectionLost(cause);
        let mut stream = connection
            .open_uni()
            .await
            .map_err(|error| connection_lost(error.to_string()))?;
        stream
            .write_all(&bytes)
            .await
            .map_err(|error| connection_lost(error.to_string()))?;
        stream
            .finish()
            .map_err(|error| connection_lost(error.to_string()))
    }

    /// Opens a channel to a peer.
    pub async fn open(&self, to: SocketAddr) -> Result<Channel, Error> {
        let connection = self.connect(to).await?;
        let stream = connection.open_bi().await;
        let (sender, receiver) = stream.map_err(|error| Error::Unreachable(error.to_string()))?;
        Ok(Channel::new(sender, receiver))
    }

    /// Returns the UDP payload bytes sent on the open connections that this process initiated.
    pub fn sent_bytes(&self) -> u64 {
        let Ok(connections) = self.connections.lock() else {
            return 0;
        };
        connections
            .values()
            .map(|connection| connection.stats().udp_tx.bytes)
            .sum()
    }

    /// Closes all connections and waits until they are shut down.
    pub async fn close(&self) {
        self.close_connections();
        self.quic.close(CLOSE_REASON.0, CLOSE_REASON.1);
        self.quic.wait_idle().await;
    }

    fn close_connections(&self) {
        self.closed.send_replace(true);
        let Ok(mut connections) = self.connections.lock() else {
            return log::error!("cannot close peer connections: the connection table lock is poisoned");
        };
        for (_address, connection) in connections.drain(..) {
            connection.close(CLOSE_REASON.0, CLOSE_REASON.1);
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, Error> {
        if let Some(connection) = self.open_connection(to) {
            return Ok(connection);
        }
        if *self.closed.borrow() {
            return Err(Error::Unreachable("the transport is closed".to_owned()));
        }
        let connecting = self
            .quic
            .connect(to, crate::identity::SERVER_NAME)
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        let connection = connected
            .map_err(|_elapsed| Error::Unreachable("connection timed out".to_owned()))?
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        if let Ok(mut connections) = self.connections.lock() {
            connections.insert(to, connection.clone());
        }
        Ok(connection)
    }

    fn open_connection(&self, to: SocketAddr) -> Option<Connection> {
        let mut connections = self.connections.lock().ok()?;
        let connection = connections.get(&to)?.clone();
        if connection.close_reason().is_some() {
            connections.swap_remove(&to);
            return None;
        }
        Some(connection)
    }
}

async fn accept_connections(
    quic: quinn::Endpoint,
    sender: mpsc::Sender<Incoming>,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let incoming = tokio::select! {
            () = wait_closed(&mut closing) => return,
            incoming = quic.accept() => incoming,
        };
        let Some(incoming) = incoming else { return };
        tokio::spawn(accept_connection(incoming, sender.clone(), closing.clone()));
    }
}

async fn accept_connection(
    incoming: quinn::Incoming,
    sender: mpsc::Sender<Incoming>,
    mut closing: watch::Receiver<bool>,
) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            metrics::counter!("bilberrylatch_peer_refused_total").increment(1);
            return log::warn!("peer connection rejected: {error}");
        }
    };
    tokio::select! {
        () = wait_closed(&mut closing) => connection.close(CLOSE_REASON.0, CLOSE_REASON.1),
        () = receive_frames(&connection, sender) => {}
    }
}

/// Waits until the transport is closed or all of its handles are dropped.
async fn wait_closed(closing: &mut watch::Receiver<bool>) {
    let _dropped = closing.wait_for(|closed| *closed).await;
}

async fn receive_frames(connection: &Connection, sender: mpsc::Sender<Incoming>) {
    let from = connection.remote_address();
    loop {
        let incoming = tokio::select! {
            accepted = connection.accept_uni() => {
                let Ok(mut stream) = accepted else { return };
                let Ok(bytes) = stream.read_to_end(FRAME_LIMIT_BYTES).await else { continue };
                match Frame::decode(&bytes) {
                    Ok(frame) => Incoming::Frame { from, frame },
                    Err(error) => {
                        metrics::counter!("bilberrylatch_peer_malformed_total").increment(1);
                        log::warn!("dropped frame from {from}: {error}");
                        continue;
                    }
                }
            }
            accepted = connection.accept_bi() => {
                let Ok((send, receive)) = accepted else { return };
                Incoming::Channel { from, channel: Channel::new(send, receive) }
            }
        };
        if sender.send(incoming).await.is_err() {
            return;
        }
    }
}
