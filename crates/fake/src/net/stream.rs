//! A TCP connection that can be cut.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::Link;

/// A connection with its link.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    link: Arc<Link>,
}

impl Stream {
    /// Wraps an accepted connection.
    pub fn new(inner: TcpStream, link: Arc<Link>) -> Self {
        Self { inner, link }
    }

    /// The handle by which the connection is cut.
    pub fn link(&self) -> Arc<Link> {
        Arc::clone(&self.link)
    }

    fn check(&self) -> io::Result<()> {
        if !self.link.is_cut() {
            return Ok(());
        }
        // A zero linger makes the close a reset, as when a process dies.
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
        self.link.register_reader(cx);
        self.check()?;
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.link.register_writer(cx);
        self.check()?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
