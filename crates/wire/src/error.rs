//! What can go wrong between nodes.

use std::fmt;

/// Why a frame was not carried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The peer could not be reached: no byte of the frame left.
    Unreachable(String),
    /// The connection broke: the frame may have arrived.
    ConnectionLost(String),
    /// The frame is larger than [`crate::FRAME_LIMIT_BYTES`]; its size in bytes.
    TooLarge(usize),
    /// The bytes are not a frame.
    Malformed(String),
    /// Certificates could not be made or the socket could not be opened.
    Setup(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "peer can't be reached: {cause}"),
            Self::ConnectionLost(cause) => write!(f, "connection to peer broke: {cause}"),
            Self::TooLarge(size) => write!(f, "frame of {size} bytes is over the limit"),
            Self::Malformed(cause) => write!(f, "bytes are not a frame: {cause}"),
            Self::Setup(cause) => write!(f, "peer endpoint can't be set up: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
