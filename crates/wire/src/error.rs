//! Errors of the communication between nodes.

use std::fmt;

/// Why a frame could not be sent or received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The peer could not be reached; no byte of the frame was sent.
    Unreachable(String),
    /// The connection was lost; the frame may have arrived.
    ConnectionLost(String),
    /// The frame exceeds [`crate::FRAME_LIMIT_BYTES`]; holds its size in bytes.
    TooLarge(usize),
    /// The bytes are not a valid message.
    Malformed(String),
    /// Creating the certificates or opening the socket failed.
    Setup(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "cannot reach peer: {cause}"),
            Self::ConnectionLost(cause) => write!(f, "connection to peer lost: {cause}"),
            Self::TooLarge(size) => write!(f, "frame of {size} bytes exceeds the limit"),
            Self::Malformed(cause) => write!(f, "malformed message: {cause}"),
            Self::Setup(cause) => write!(f, "cannot set up peer transport: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
