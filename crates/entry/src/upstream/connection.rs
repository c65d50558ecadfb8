//! A connection to a replica.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::socket::{Socket, Upload};
use crate::intake::Payload;
use crate::net::Liveness;

/// Time to establish a connection: several round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A replica may stop for a second or two, with its network, and go on. Requests that may move are moved to another replica
/// before that; for the others this connection is all they have.
pub const REPLICA_LIVENESS: Liveness = Liveness {
    unacknowledged: Duration::from_secs(4),
    probe: Duration::from_secs(1),
};
/// Maximum size of a response head from a replica, and of what is read from the connection at a time.
const REPLICA_BUFFER_BYTES: usize = 16 * 1024;

/// Body of a request: short ones of the node itself, and those of callers.
pub type RequestBody = Either<Full<Bytes>, Payload>;

/// Name and address of a server, since an address may be reassigned to another one.
pub(super) type Server = (Arc<str>, SocketAddr);

/// A connection used by one request at a time. Dropping it during a request closes it immediately, so that the replica
/// cancels the work.
#[derive(Debug)]
pub struct Connection {
    /// Name and address of the server.
    pub(super) server: Server,
    pub(super) sender: SendRequest<RequestBody>,
    driver: AbortHandle,
    pub(super) upload: Arc<Upload>,
    /// Whether it has served a request before.
    pub(super) used: bool,
    /// When its last response ended.
    pub(super) idle_since: Millis,
    /// How long it may stay idle.
    pub(super) idle_timeout: Millis,
}

impl Connection {
    /// Connects to a node that forwards requests to replicas. The connection comes from the address `own`, by which the other
    /// node knows this one.
    pub async fn connect_from(
        own: IpAddr,
        name: &Arc<str>,
        address: SocketAddr,
        liveness: Liveness,
    ) -> Result<Self, String> {
        let connect = async {
            let socket = match address {
                SocketAddr::V4(_) => TcpSocket::new_v4()?,
                SocketAddr::V6(_) => TcpSocket::new_v6()?,
            };
            if !own.is_unspecified() {
                socket.bind(SocketAddr::new(own, 0))?;
            }
            socket.connect(address).await
        };
        let mut builder = http1::Builder::new();
        let builder = builder.max_buf_size(REPLICA_BUFFER_BYTES);
        Self::connect_with(connect, (Arc::clone(name), address), liveness, builder).await
    }

    /// Connects to the replica `name`.
    pub async fn connect(name: &Arc<str>, address: SocketAddr, liveness: Liveness) -> Result<Self, String> {
        let mut builder = http1::Builder::new();
        let server = (Arc::clone(name), address);
        let builder = builder.max_buf_size(REPLICA_BUFFER_BYTES);
        Self::connect_with(TcpStream::connect(address), server, liveness, builder).await
    }

    /// Connects to the platform or another node, whose responses are large and are read in large pieces.
    pub(super) async fn connect_for_calls(
        name: &Arc<str>,
        address: SocketAddr,
        liveness: Liveness,
    ) -> Result<Self, String> {
        let server = (Arc::clone(name), address);
        Self::connect_with(
            TcpStream::connect(address),
            server,
            liveness,
            &http1::Builder::new(),
        )
        .await
    }

    async fn connect_with<C>(
        connect: C,
        server: Server,
        liveness: Liveness,
        builder: &http1::Builder,
    ) -> Result<Self, String>
    where
        C: Future<Output = std::io::Result<TcpStream>>,
    {
        let address = server.1;
        let stream = match timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(error.to_string()),
            Err(_elapsed) => return Err("connection timed out".to_owned()),
        };
        liveness.apply(&stream).map_err(|error| error.to_string())?;
        let upload = Arc::new(Upload::default());
        let socket = Socket::new(stream, Arc::clone(&upload)).map_err(|error| error.to_string())?;
        let (sender, connection) = builder
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|error| error.to_string())?;
        let driver = tokio::spawn(async move {
            // A request in flight receives the error as well.
            if let Err(error) = connection.await {
                log::debug!(replica:% = address, cause:% = error; "replica connection ended");
            }
        });
        Ok(Self {
            server,
            sender,
            driver: driver.abort_handle(),
            upload,
            used: false,
            idle_since: Millis::ZERO,
            idle_timeout: Millis::ZERO,
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
