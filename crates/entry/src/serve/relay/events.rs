//! Reads the events of a stream.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::upstream::{EventBuffer, Exhausted, RESPONSES, Reservation};

/// The next item of a stream.
#[derive(Debug)]
pub(super) enum Next {
    /// A complete event, including its separator.
    Event(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The stream was interrupted; holds the cause.
    Interrupted(String),
    /// An event takes too much memory; holds the cause.
    Refused(&'static str),
}

/// The body of a stream and a buffer for an incomplete event.
#[derive(Debug)]
pub(super) struct Events {
    incoming: Incoming,
    buffer: EventBuffer,
    /// Memory of the buffer.
    reservation: Reservation,
}

impl Events {
    pub fn new(incoming: Incoming) -> Self {
        Self {
            incoming,
            buffer: EventBuffer::new(),
            reservation: RESPONSES.reserve(),
        }
    }

    /// Returns the next event. Cancel safe: no data is lost if the future is dropped.
    pub async fn next(&mut self) -> Next {
        loop {
            if let Some(event) = self.buffer.take() {
                return Next::Event(event);
            }
            if self.buffer.is_full() {
                return Next::Refused("event too large");
            }
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    let Ok(piece) = frame.into_data() else { continue };
                    if self.append(&piece).is_err() {
                        return Next::Refused("no memory for the event");
                    }
                }
                Some(Err(error)) => return Next::Interrupted(error.to_string()),
                None if self.buffer.is_within_event() => {
                    return Next::Interrupted("stream ended within an event".to_owned());
                }
                None => return Next::End,
            }
        }
    }
    /// Appends a piece if there is memory for it, and charges what the buffer takes then.
    fn append(&mut self, piece: &[u8]) -> Result<(), Exhausted> {
        self.reservation.resize(self.buffer.capacity_with(piece.len()))?;
        self.buffer.push(piece);
        self.reservation.resize(self.buffer.capacity())
    }
}
