//! TCP connection options.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How a connection detects that its peer is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// Time after which unacknowledged data closes the connection.
    pub unacknowledged: Duration,
    /// Idle time before the first keepalive probe, and the interval between probes.
    pub probe: Duration,
}

impl Liveness {
    /// Applies the options to a connection, and disables Nagle's algorithm so that small writes are sent immediately.
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
