//! TCP connection that can be reset.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::Connection;

/// TCP stream with the handle that resets it.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    connection: Arc<Connection>,
}

impl Stream {
    /// Wraps the stream of an accepted connection.
    pub fn new(inner: TcpStream, connection: Arc<Connection>) -> Self {
        Self { inner, connection }
    }

    /// Returns the handle that resets the connection.
    pub fn connection(&self) -> Arc<Connection> {
        Arc::clone(&self.connection)
    }

    fn check_reset(&self) -> io::Result<()> {
        if !self.connection.is_reset() {
            return Ok(());
        }
        // With a linger of zero, closing the socket sends a reset, as when a process dies.
        self.inner.set_zero_linger()?;
        Err(io::ErrorKind::ConnectionReset.into())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.register_reader(cx);
        self.check_reset()?;
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.connection.register_writer(cx);
        self.check_reset()?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_reset()?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_reset()?;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
