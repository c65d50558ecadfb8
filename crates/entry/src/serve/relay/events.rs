//! Splits a stream into events.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Separates events.
const EVENT_SEPARATOR: &[u8] = b"\n\n";
/// Maximum size of an event held in memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The next item of a stream.
#[derive(Debug)]
pub(super) enum Next {
    /// A complete event, including its separator.
    Event(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The stream was interrupted; holds the cause.
    Interrupted(String),
}

/// The body of a stream and a buffer for an incomplete event.
#[derive(Debug)]
pub(super) struct Events {
    incoming: Incoming,
    buffer: BytesMut,
    /// Length of the buffer's prefix that was already searched for the separator.
    searched: usize,
}

impl Events {
    pub fn new(incoming: Incoming) -> Self {
        Self {
            incoming,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// Returns the next event. Cancel safe: no data is lost if the future is dropped.
    pub async fn next(&mut self) -> Next {
        loop {
            if let Some(event) = self.take() {
                return Next::Event(event);
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Next::Interrupted("event too large".to_owned());
            }
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Next::Interrupted(error.to_string()),
                None if self.buffer.is_empty() => return Next::End,
                None => return Next::Interrupted("stream ended within an event".to_owned()),
            }
        }
    }

    fn take(&mut self) -> Option<Bytes> {
        let start = self.searched.saturating_sub(1);
        let found = self.buffer[start..]
            .windows(EVENT_SEPARATOR.len())
            .position(|window| window == EVENT_SEPARATOR);
        let Some(position) = found else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = start + position + EVENT_SEPARATOR.len();
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }
}
