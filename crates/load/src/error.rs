//! Error type of the load tool.

use std::fmt;

/// An error that makes a command fail.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read or written.
    File {
        /// Path of the file.
        path: String,
        /// Underlying I/O error.
        cause: std::io::Error,
    },
    /// A file could not be parsed, or a value could not be serialized into it.
    Format {
        /// Path of the file.
        path: String,
        /// Description of the error, with line and column if known.
        message: String,
    },
    /// A plot could not be rendered.
    Plot {
        /// Path of the file.
        path: String,
        /// Description of the error.
        message: String,
    },
    /// A component of the deployment failed to start or to respond.
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
