//! Errors of the tool.

use std::fmt;

/// Why a command could not be carried out.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read or written.
    File {
        /// Its path.
        path: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// A file is not what it should be.
    Format {
        /// Its path.
        path: String,
        /// What is wrong, with the place where it is known.
        message: String,
    },
    /// A picture could not be drawn.
    Plot {
        /// Its path.
        path: String,
        /// What is wrong.
        message: String,
    },
    /// A part of the deployment did not start or answer.
    Deployment(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, cause } => write!(f, "{path}: {cause}"),
            Self::Format { path, message } => write!(f, "{path}: {message}"),
            Self::Plot { path, message } => write!(f, "{path}: cannot draw: {message}"),
            Self::Deployment(message) => write!(f, "deployment: {message}"),
        }
    }
}

impl std::error::Error for Error {}
