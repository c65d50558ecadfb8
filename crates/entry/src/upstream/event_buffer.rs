//! Splits the bytes of a stream into events.

use bytes::{Bytes, BytesMut};

/// Separates events.
const EVENT_SEPARATOR: &[u8] = b"\n\n";
/// Maximum size of an event held in memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Size that each piece of an event counts at least, since the work of reading it does not depend on its size.
const MIN_PIECE_BYTES: usize = 64;

/// Complete events that were not taken yet, and the incomplete one behind them.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// Length of the prefix that was already searched for the separator.
    searched: usize,
    /// Size of the pieces since the last event was taken.
    size: usize,
}

impl EventBuffer {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends the next bytes of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.size += piece.len().max(MIN_PIECE_BYTES);
        self.bytes.extend_from_slice(piece);
    }

    /// Takes the next complete event, including its separator.
    pub fn take(&mut self) -> Option<Bytes> {
        let start = self.searched.saturating_sub(1);
        let found = self.bytes[start..]
            .windows(EVENT_SEPARATOR.len())
            .position(|window| window == EVENT_SEPARATOR);
        let Some(position) = found else {
            self.searched = self.bytes.len();
            return None;
        };
        let end = start + position + EVENT_SEPARATOR.len();
        self.searched = 0;
        let event = self.bytes.split_to(end).freeze();
        self.size = self.bytes.len();
        Some(event)
    }

    /// Whether the stream is within an event, so that it must not end here.
    pub fn is_within_event(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Whether the event in the buffer is larger than any event may be.
    pub const fn is_full(&self) -> bool {
        self.size > MAX_EVENT_BYTES
    }

    /// Number of bytes of memory that the buffer takes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Number of bytes of memory that the buffer is expected to take once a piece of this length is appended. Small
    /// buffers may take somewhat more.
    pub fn capacity_with(&self, length: usize) -> usize {
        let needed = self.bytes.len() + length;
        let capacity = self.capacity();
        if needed <= capacity {
            return capacity;
        }
        needed.max(capacity * 2)
    }
}
