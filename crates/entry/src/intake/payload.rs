//! The body of a request.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};

use super::{Holding, NoMemory};

/// Minimum and maximum size of a block.
const MIN_BLOCK_BYTES: usize = 1024;
const MAX_BLOCK_BYTES: usize = 16 * 1024;

/// A body that arrives. It is copied into blocks, so that neither the number nor the origin of its pieces matters for its
/// memory: a piece of a byte would keep the whole buffer that it was read into.
#[derive(Debug)]
pub struct Pieces {
    blocks: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    /// Total capacity of the blocks.
    capacity: usize,
    holding: Holding,
}

impl Pieces {
    /// Creates an empty body whose memory is charged to the holding.
    pub fn new(holding: Holding) -> Self {
        Self {
            blocks: Vec::new(),
            last: BytesMut::new(),
            length: 0,
            capacity: 0,
            holding,
        }
    }

    /// Number of bytes that arrived.
    pub const fn length(&self) -> usize {
        self.length
    }

    /// The memory that the body holds.
    pub const fn holding(&self) -> &Holding {
        &self.holding
    }

    /// Appends a piece once there is memory for it. Returns whether it had to wait.
    pub async fn push(&mut self, mut piece: &[u8]) -> Result<bool, NoMemory> {
        self.length += piece.len();
        let mut has_waited = false;
        while !piece.is_empty() {
            if self.last.len() == self.last.capacity() {
                has_waited |= self.add_block(piece.len()).await?;
            }
            let room = self.last.capacity() - self.last.len();
            let (fits, rest) = piece.split_at(room.min(piece.len()));
            self.last.extend_from_slice(fits);
            piece = rest;
        }
        Ok(has_waited)
    }

    /// Adds a block. The first one is small, since most bodies are.
    async fn add_block(&mut self, needed: usize) -> Result<bool, NoMemory> {
        let size = if self.capacity == 0 {
            needed.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES)
        } else {
            MAX_BLOCK_BYTES
        };
        let has_waited = self.holding.grow(self.capacity + size).await?;
        self.capacity += size;
        self.keep_last();
        self.last = BytesMut::with_capacity(size);
        Ok(has_waited)
    }

    fn keep_last(&mut self) {
        let last = std::mem::take(&mut self.last);
        if !last.is_empty() {
            self.blocks.push(last.freeze());
        }
    }

    /// The whole body.
    pub fn into_payload(mut self) -> Result<Payload, NoMemory> {
        self.holding.complete()?;
        self.keep_last();
        Ok(Payload {
            left: self.length,
            next: 0,
            whole: Arc::new(Whole {
                blocks: self.blocks,
                _holding: self.holding,
            }),
        })
    }
}

#[derive(Debug)]
struct Whole {
    blocks: Vec<Bytes>,
    _holding: Holding,
}

/// A whole body, which may be sent more than once. Its memory is released when the last copy is dropped.
#[derive(Clone, Debug)]
pub struct Payload {
    whole: Arc<Whole>,
    /// The next block to be sent.
    next: usize,
    /// Number of bytes from there on.
    left: usize,
}

impl Payload {
    /// The whole body, in blocks.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.whole.blocks.iter().map(|block| &**block)
    }

    /// The whole body in one piece, for short ones.
    pub fn to_bytes(&self) -> Bytes {
        match self.whole.blocks.as_slice() {
            [] => Bytes::new(),
            [only] => only.clone(),
            blocks => blocks.concat().into(),
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(block) = self.whole.blocks.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
