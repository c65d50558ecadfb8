//! Errors of starting a stand-in.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a stand-in could not start.
#[derive(Debug)]
pub enum Error {
    /// The address could not be bound.
    Bind {
        /// The address asked for.
        addr: SocketAddr,
        /// What the system said.
        cause: io::Error,
    },
    /// A setting could not be read.
    Setting {
        /// Flag or environment variable.
        name: String,
        /// What is wrong with it and what is allowed.
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
