//! A caller's connection, whose end tells whether the response was complete.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::activity::Activity;

/// A connection that is reset in place of closed while a response is incomplete whose end only the connection can tell. The
/// kernel does that also if the process is killed.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    /// Whether the socket is set to be reset when it is closed.
    resets: bool,
}

impl CallerStream {
    /// A connection on which no response has begun.
    pub const fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self {
            stream,
            activity,
            resets: false,
        }
    }

    /// The connection itself.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn update(&mut self) {
        let resets = self.activity.is_end_open();
        if resets == self.resets {
            return;
        }
        self.resets = resets;
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.stream).set_linger(linger) {
            log::debug!(cause:% = error; "failed to set how a connection is closed");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
