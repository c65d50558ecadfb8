//! Errors that end a node.

use std::fmt;
use std::net::SocketAddr;

use crate::exit::Exit;

/// Error that ends the node.
#[derive(Debug)]
pub enum Error {
    /// The address for callers could not be bound.
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The address for peers could not be bound, or certificates could not be made.
    Peers(wire::Error),
    /// An HTTP client could not be set up.
    Client(String),
    /// Logging could not be set up.
    Logs(String),
}

impl Error {
    /// Exit code for this error.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Listen { .. } | Self::Peers(_) => Exit::Address,
            Self::Client(_) | Self::Logs(_) => Exit::Internal,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, cause } => write!(
                f,
                "failed to listen for callers on {address}: {cause}; choose another address with --listen or \
                 BILBERRYLATCH_LISTEN"
            ),
            Self::Peers(cause) => {
                write!(
                    f,
                    "{cause}; choose another address with --peer-listen or BILBERRYLATCH_PEER_LISTEN"
                )
            }
            Self::Client(cause) => write!(f, "failed to set up an HTTP client: {cause}"),
            Self::Logs(cause) => write!(f, "failed to set up logging: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
