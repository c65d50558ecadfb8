//! Errors that end the daemon.

use std::fmt;
use std::net::SocketAddr;

/// A fatal error of the daemon.
#[derive(Debug)]
pub enum Error {
    /// The settings are invalid.
    Settings(String),
    /// An address could not be bound.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The logs, metrics or signal handlers could not be set up.
    Setup(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(findings) => f.write_str(findings),
            Self::Listen { address, cause } => {
                write!(
                    f,
                    "cannot listen on {address}: {cause}; free the port or change the address"
                )
            }
            Self::Setup(cause) => write!(f, "cannot start: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
