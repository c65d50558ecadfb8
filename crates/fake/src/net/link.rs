//! The handle by which one connection is cut.

use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Context;

use futures::task::AtomicWaker;

/// One connection; once cut, its next read or write fails and the peer sees a reset.
#[derive(Debug, Default)]
pub struct Link {
    cut: AtomicBool,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl Link {
    /// Cuts the connection; bytes not yet written are lost.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.reader.wake();
        self.writer.wake();
    }

    /// Whether the connection has been cut.
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    pub(crate) fn register_reader(&self, context: &Context<'_>) {
        self.reader.register(context.waker());
    }

    pub(crate) fn register_writer(&self, context: &Context<'_>) {
        self.writer.register(context.waker());
    }
}
