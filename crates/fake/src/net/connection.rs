//! Handle that resets one connection.

use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Context;

use futures::task::AtomicWaker;

/// Connection that can be reset: its next read or write fails and the peer sees a TCP reset.
#[derive(Debug, Default)]
pub struct Connection {
    reset: AtomicBool,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl Connection {
    /// Resets the connection; data that is not yet written is lost.
    pub fn reset(&self) {
        self.reset.store(true, Ordering::SeqCst);
        self.reader.wake();
        self.writer.wake();
    }

    /// Whether the connection has been reset.
    pub fn is_reset(&self) -> bool {
        self.reset.load(Ordering::SeqCst)
    }

    pub(crate) fn register_reader(&self, context: &Context<'_>) {
        self.reader.register(context.waker());
    }

    pub(crate) fn register_writer(&self, context: &Context<'_>) {
        self.writer.register(context.waker());
    }
}
