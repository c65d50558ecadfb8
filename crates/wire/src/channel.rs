//! Frames in both directions over one QUIC stream.

use quinn::{RecvStream, SendStream};

use crate::{Error, FRAME_LIMIT_BYTES, Frame};

/// A bidirectional stream of frames. Each frame is preceded by its length as a 4-byte big-endian integer.
#[derive(Debug)]
pub struct Channel {
    sender: SendStream,
    receiver: RecvStream,
}

impl Channel {
    pub(crate) const fn new(sender: SendStream, receiver: RecvStream) -> Self {
        Self { sender, receiver }
    }

    /// Sends a frame.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let bytes = frame.encode()?;
        let length = u32::try_from(bytes.len()).map_err(|_overflow| Error::TooLarge(bytes.len()))?;
        let connection_lost = |error: quinn::WriteError| Error::ConnectionLost(error.to_string());
        self.sender
            .write_all(&length.to_be_bytes())
            .await
            .map_err(connection_lost)?;
        self.sender.write_all(&bytes).await.map_err(connection_lost)
    }

    /// Closes the sending direction: no more frames follow.
    pub fn finish(&mut self) -> Result<(), Error> {
        self.sender
            .finish()
            .map_err(|error| Error::ConnectionLost(error.to_string()))
    }

    /// Waits until the peer has acknowledged all data sent, or has closed the stream.
    pub async fn wait_acknowledged(&mut self) {
        let _acknowledged = self.sender.stopped().await;
    }

    /// Receives a frame.
    pub async fn receive(&mut self) -> Result<Frame, Error> {
        let connection_lost = |error: quinn::ReadExactError| Error::ConnectionLost(error.to_string());
        let mut length = [0_u8; 4];
        self.receiver
            .read_exact(&mut length)
            .await
            .map_err(connection_lost)?;
        let length = u32::from_be_bytes(length) as usize;
        if length > FRAME_LIMIT_BYTES {
            return Err(Error::TooLarge(length));
        }
        let mut bytes = vec![0_u8; length];
        self.receiver
            .read_exact(&mut bytes)
            .await
            .map_err(connection_lost)?;
        Frame::decode(&bytes)
    }
}
