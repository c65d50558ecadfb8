//! What a client's connection is doing, and when it is closed.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use base::Millis;
use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use intake::connection::State;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::body::{Aborted, Body};
use crate::Shared;
use crate::shared::RequestGuard;

/// Maximum interval between checks, after which a shorter limit applies.
const MAX_CHECK_INTERVAL: Millis = Millis(5_000);

/// What a connection is doing.
#[derive(Debug)]
pub struct Activity {
    /// Number of requests whose response has not ended.
    open: AtomicUsize,
    /// When the last response ended, in milliseconds.
    idle_since: AtomicU64,
    /// Whether a response has begun whose end is that of the connection, and has not ended.
    is_end_open: AtomicBool,
    /// Whether the body of a request arrives.
    is_receiving: AtomicBool,
    /// When a byte of it last arrived, in milliseconds.
    progressed: AtomicU64,
    /// Whether the client has not taken the last part of a response.
    is_sending: AtomicBool,
    /// When it was there for the client, in milliseconds.
    offered: AtomicU64,
    /// Bytes of the response that are held beside it.
    held: AtomicUsize,
    /// Whether a body was not read to its end.
    has_unread: AtomicBool,
    /// Notified when the connection is to be closed for another one.
    closing: Notify,
}

impl Activity {
    /// A connection without a request so far.
    pub const fn new(now: Millis) -> Self {
        Self {
            open: AtomicUsize::new(0),
            idle_since: AtomicU64::new(now.0),
            is_end_open: AtomicBool::new(false),
            is_receiving: AtomicBool::new(false),
            progressed: AtomicU64::new(now.0),
            is_sending: AtomicBool::new(false),
            offered: AtomicU64::new(now.0),
            held: AtomicUsize::new(0),
            has_unread: AtomicBool::new(false),
            closing: Notify::const_new(),
        }
    }

    /// Whether a response has begun whose end is that of the connection, and has not ended. Closing the connection now would make
    /// it look complete.
    pub fn is_end_open(&self) -> bool {
        self.is_end_open.load(Ordering::Relaxed)
    }

    /// What the connection is doing.
    pub fn state(&self) -> State {
        if self.open.load(Ordering::Relaxed) == 0 {
            let since = Millis(self.idle_since.load(Ordering::Relaxed));
            return State::Idle { since };
        }
        if self.is_receiving.load(Ordering::Relaxed) {
            let progressed = Millis(self.progressed.load(Ordering::Relaxed));
            return State::Receiving { progressed };
        }
        if self.is_sending.load(Ordering::Relaxed) {
            return State::Sending {
                progressed: Millis(self.offered.load(Ordering::Relaxed)),
                bytes: self.held.load(Ordering::Relaxed),
            };
        }
        State::Busy
    }

    /// Records that the client gets a part of a response while this many bytes are held beside it. It has taken the part
    /// when it is offered another one.
    fn offer(&self, now: Millis, held: usize) {
        self.offered.store(now.0, Ordering::Relaxed);
        self.held.store(held, Ordering::Relaxed);
        self.is_sending.store(true, Ordering::Relaxed);
    }

    /// Records that there is nothing for the client at the moment.
    fn wait_for_source(&self) {
        self.is_sending.store(false, Ordering::Relaxed);
    }

    /// Closes the connection for another one.
    pub fn close(&self) {
        self.closing.notify_one();
    }

    /// Waits until the connection is to be closed for another one.
    pub(super) async fn closed(&self) {
        self.closing.notified().await;
    }

    /// Records that a part of a request's body has arrived, or that the node is ready to read it.
    pub(super) fn receive(&self, now: Millis) {
        self.progressed.store(now.0, Ordering::Relaxed);
        self.is_receiving.store(true, Ordering::Relaxed);
    }

    /// Records that no more of a request's body will be read.
    pub(super) fn end_receiving(&self, is_complete: bool) {
        self.is_receiving.store(false, Ordering::Relaxed);
        if !is_complete {
            self.has_unread.store(true, Ordering::Relaxed);
        }
    }

    /// Whether a request was answered before its body was read to its end.
    pub(super) fn has_unread(&self) -> bool {
        self.has_unread.load(Ordering::Relaxed)
    }

    /// Records that a request has arrived.
    pub(super) fn begin(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    fn end(&self, now: Millis) {
        self.idle_since.store(now.0, Ordering::Relaxed);
        self.is_sending.store(false, Ordering::Relaxed);
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Waits until the connection has had no request for longer than the configuration in force allows, including the time
    /// to receive a head.
    pub(super) async fn timed_out(&self, shared: &Shared) {
        loop {
            let limits = shared.caller_limits();
            let limit = limits.idle_timeout + limits.head_timeout;
            let is_open = self.open.load(Ordering::Relaxed) > 0;
            let idle_since = Millis(self.idle_since.load(Ordering::Relaxed));
            let idle = if is_open {
                Millis::ZERO
            } else {
                shared.now().since(idle_since)
            };
            if idle >= limit {
                log::info!(idle_ms = idle.0, limit_ms = limit.0; "caller connection timed out");
                return;
            }
            sleep((limit - idle).min(MAX_CHECK_INTERVAL).as_duration()).await;
        }
    }
}

/// The body of a response. The request ends when it is dropped, that is, once its last part was passed to the connection: a node
/// that leaves waits for callers that read slowly.
#[derive(Debug)]
pub(super) struct Tracked {
    body: Body,
    shared: Arc<Shared>,
    activity: Arc<Activity>,
    _guard: RequestGuard,
}

impl Tracked {
    /// Tracks the response to a request that has begun. Without chunks, a body of unknown length ends with its connection.
    pub fn new(body: Body, has_chunks: bool, shared: Arc<Shared>, activity: Arc<Activity>) -> Self {
        if !has_chunks && body.size_hint().exact().is_none() {
            activity.is_end_open.store(true, Ordering::Relaxed);
        }
        Self {
            _guard: shared.track_request(),
            body,
            shared,
            activity,
        }
    }
}

impl http_body::Body for Tracked {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) {
            self.activity.is_end_open.store(false, Ordering::Relaxed);
        }
        if let Poll::Ready(Some(Ok(_))) = &polled {
            let held = self.body.size_hint().lower() as usize;
            self.activity.offer(self.shared.now(), held);
        } else {
            self.activity.wait_for_source();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.activity.end(self.shared.now());
    }
}
