//! A connection to a replica.

use std::net::SocketAddr;
use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::net::Liveness;

/// Time to establish a connection: several round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response head from a replica, and of what is read from the connection at a time.
const REPLICA_BUFFER_BYTES: usize = 16 * 1024;

/// A connection used by one request at a time. Dropping it during a request closes it immediately, so that the replica
/// cancels the work.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Whether it has served a request before.
    pub(super) used: bool,
    /// When its last response ended.
    pub(super) idle_since: Millis,
    /// How long it may stay idle.
    pub(super) idle_timeout: Millis,
}

impl Connection {
    /// Connects to a replica.
    pub async fn connect(address: SocketAddr, liveness: Liveness) -> Result<Self, String> {
        let mut builder = http1::Builder::new();
        Self::connect_with(address, liveness, builder.max_buf_size(REPLICA_BUFFER_BYTES)).await
    }

    /// Connects to the platform or another node, whose responses are large and are read in large pieces.
    pub(super) async fn connect_for_calls(address: SocketAddr, liveness: Liveness) -> Result<Self, String> {
        Self::connect_with(address, liveness, &http1::Builder::new()).await
    }

    async fn connect_with(
        address: SocketAddr,
        liveness: Liveness,
        builder: &http1::Builder,
    ) -> Result<Self, String> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(error.to_string()),
            Err(_elapsed) => return Err("connection timed out".to_owned()),
        };
        liveness.apply(&stream).map_err(|error| error.to_string())?;
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let driver = tokio::spawn(async move {
            // A request in flight receives the error as well.
            if let Err(error) = connection.await {
                log::debug!(replica:% = address, cause:% = error; "replica connection ended");
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
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
