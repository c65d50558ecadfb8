//! Options of TCP connections.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How a connection notices that its other side is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// Time after which sent bytes without acknowledgement end the connection.
    pub unacknowledged: Duration,
    /// Silence after which it is probed, and time between probes.
    pub probe: Duration,
}

impl Liveness {
    /// Sets the options of a connection, which sends small writes at once.
    pub fn apply(self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(self.unacknowledged))?;
        let probes = TcpKeepalive::new()
            .with_time(self.probe)
            .with_interval(self.probe);
        socket.set_tcp_keepalive(&probes)
    }
}
