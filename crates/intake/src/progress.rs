//! The minimum progress of a body.

use base::Millis;

/// Bytes that must arrive in each window. A sender of 600 bytes in 20 s is still served.
const MIN_BYTES: usize = 64;

/// Whether a body arrives fast enough.
///
/// Load pattern: clients that stop in the middle of a body, or send a byte now and then, beside slow ones that send
/// steadily. The time for the whole body is not bounded, since a slow link may need long for the largest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    window: Millis,
    /// When the current window began.
    began: Millis,
    /// Bytes that arrived since then.
    bytes: usize,
}

impl Progress {
    /// Begins the first window.
    pub const fn new(now: Millis, window: Millis) -> Self {
        Self {
            window,
            began: now,
            bytes: 0,
        }
    }

    /// Records bytes that arrived.
    pub const fn record(&mut self, now: Millis, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= MIN_BYTES {
            *self = Self::new(now, self.window);
        }
    }

    /// Begins a new window after a time in which the node itself did not read.
    pub const fn resume(&mut self, now: Millis) {
        *self = Self::new(now, self.window);
    }

    /// Time until the body counts as too slow.
    pub fn left(&self, now: Millis) -> Millis {
        (self.began + self.window).since(now)
    }
}
