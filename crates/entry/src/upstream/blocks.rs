//! Bytes in blocks, charged to a memory.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};

use super::{Exhausted, Reservation};

/// Minimum and maximum size of a block.
const MIN_BLOCK_BYTES: usize = 1024;
const MAX_BLOCK_BYTES: usize = 16 * 1024;

/// A body that is copied into blocks, so that neither the number nor the origin of its pieces matters for its memory.
#[derive(Debug)]
pub struct Blocks {
    queue: VecDeque<BytesMut>,
    /// Total capacity of the blocks.
    capacity: usize,
    reservation: Reservation,
}

impl Blocks {
    /// Creates an empty body whose memory is charged to the reservation.
    pub const fn new(reservation: Reservation) -> Self {
        Self {
            queue: VecDeque::new(),
            capacity: 0,
            reservation,
        }
    }

    /// Appends a piece.
    pub fn push(&mut self, mut piece: &[u8]) -> Result<(), Exhausted> {
        self.push_from(&mut piece)
    }

    /// Appends a piece, of which the rest remains if there is no memory for it.
    pub fn push_from(&mut self, piece: &mut &[u8]) -> Result<(), Exhausted> {
        while !piece.is_empty() {
            let block = match self.queue.back_mut() {
                Some(block) if block.len() < block.capacity() => block,
                _ => self.grow(piece.len())?,
            };
            let room = block.capacity() - block.len();
            let (fits, rest) = piece.split_at(room.min(piece.len()));
            block.extend_from_slice(fits);
            *piece = rest;
        }
        Ok(())
    }

    /// Adds a block. The first one is small, since most bodies are.
    fn grow(&mut self, needed: usize) -> Result<&mut BytesMut, Exhausted> {
        let size = if self.queue.is_empty() {
            needed.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES)
        } else {
            MAX_BLOCK_BYTES
        };
        let block = BytesMut::with_capacity(size);
        self.reservation.resize(self.capacity + block.capacity())?;
        self.capacity += block.capacity();
        Ok(self.queue.push_back_mut(block))
    }
}

impl Body for Blocks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(block) = self.queue.pop_front() else {
            return Poll::Ready(None);
        };
        self.capacity -= block.capacity();
        let capacity = self.capacity;
        // Holding less is never refused.
        let _released = self.reservation.resize(capacity);
        Poll::Ready(Some(Ok(Frame::data(block.freeze()))))
    }

    fn is_end_stream(&self) -> bool {
        self.queue.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let length: usize = self.queue.iter().map(BytesMut::len).sum();
        SizeHint::with_exact(length as u64)
    }
}
