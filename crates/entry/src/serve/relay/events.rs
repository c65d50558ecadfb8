//! Cuts a stream into whole events.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// End of an event.
const EVENT_SEPARATOR: &[u8] = b"\n\n";
/// Largest event that is held in memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// What comes next in a stream.
#[derive(Debug)]
pub(super) enum Next {
    /// A whole event, its blank line included.
    Event(Bytes),
    /// The stream ended after a whole event.
    End,
    /// The stream broke off.
    Interrupted(String),
}

/// A stream's body and the part of an event that has come.
#[derive(Debug)]
pub(super) struct Events {
    incoming: Incoming,
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
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

    /// The next event. Dropped while it waits, it loses nothing.
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
                None => return Next::Interrupted("ended within an event".to_owned()),
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
