//! Sockets of connections to replicas.

use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Time in which the reset of a peer that has closed without reading the request arrives behind the end of its data.
const RESET_TIME: Duration = Duration::from_millis(100);
/// Number of bytes that the kernel holds unsent from which the socket takes no more.
const MAX_UNSENT_BYTES: u32 = 1;

/// What a connection knows of its requests' bodies.
#[derive(Debug, Default)]
pub(super) struct Upload {
    /// Whether a request with a body is in progress.
    is_active: AtomicBool,
    /// Whether a part of what was to be written has not been taken by the socket.
    is_blocked: AtomicBool,
    /// Whether the peer's data has ended.
    has_ended: AtomicBool,
}

impl Upload {
    /// Notes whether the request in progress has a body.
    pub fn set_active(&self, is_active: bool) {
        self.is_active.store(is_active, Ordering::Relaxed);
    }

    /// Whether the connection can't take another request: a part of the last one is still to be written, or the peer has closed.
    pub fn is_spent(&self) -> bool {
        self.is_blocked.load(Ordering::Relaxed) || self.has_ended.load(Ordering::Relaxed)
    }
}

/// A socket on which the end of the peer's data is an error while the peer has not taken the whole request.
///
/// Load pattern: a replica in trouble answers a long upload at once, with neither a length nor chunks, writes a part of the body
/// and closes while the upload is still being written. The part would look like the whole answer, and the reset comes behind it.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    upload: Arc<Upload>,
    /// Waits for a reset after the end of the peer's data.
    end: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    pub fn new(stream: TcpStream, upload: Arc<Upload>) -> io::Result<Self> {
        SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
        Ok(Self {
            stream,
            upload,
            end: None,
        })
    }

    /// Fails if the peer has reset the connection, or has not taken what was written.
    fn check_taken(&self) -> io::Result<()> {
        let reset = |cause: &str| io::Error::new(io::ErrorKind::ConnectionReset, cause.to_owned());
        let mut polled = [PollFd::new(self.stream.as_fd(), PollFlags::POLLOUT)];
        poll(&mut polled, PollTimeout::ZERO)?;
        let found = polled[0].revents().unwrap_or(PollFlags::empty());
        if found.intersects(PollFlags::POLLERR | PollFlags::POLLHUP) {
            return Err(reset("reset behind the end of the response"));
        }
        if self.upload.is_blocked.load(Ordering::Relaxed) || !found.contains(PollFlags::POLLOUT) {
            return Err(reset("closed before the request was taken"));
        }
        Ok(())
    }

    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.upload.is_active.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        let end = self.end.get_or_insert_with(|| Box::pin(sleep(RESET_TIME)));
        ready!(end.as_mut().poll(context));
        Poll::Ready(self.check_taken())
    }

    fn note_write<T>(&self, written: &Poll<io::Result<T>>) {
        self.upload
            .is_blocked
            .store(written.is_pending(), Ordering::Relaxed);
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let is_end = buffer.filled().len() == before && buffer.remaining() > 0;
        if is_end {
            self.upload.has_ended.store(true, Ordering::Relaxed);
            self.poll_end(context)
        } else {
            Poll::Ready(Ok(()))
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
