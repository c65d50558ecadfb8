//! Errors when starting a fake server.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Reason why a fake server could not start.
#[derive(Debug)]
pub enum Error {
    /// The address could not be bound.
    Bind {
        /// Requested address.
        addr: SocketAddr,
        /// Error from the operating system.
        cause: io::Error,
    },
    /// A setting is invalid.
    Setting {
        /// Name of the environment variable.
        name: String,
        /// The rejected value and the reason.
        problem: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { addr, cause } => {
                write!(
                    f,
                    "cannot listen on {addr}: {cause}; choose another address or port 0"
                )
            }
            Self::Setting { name, problem } => write!(f, "{name}: {problem}"),
        }
    }
}

impl std::error::Error for Error {}
