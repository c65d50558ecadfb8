//! Errors of the commands.

use std::fmt;
use std::path::PathBuf;

use crate::Exit;

/// Why a command failed; the message says what to change where that is known.
#[derive(Debug)]
pub enum Error {
    /// A flag or an environment variable is missing or invalid.
    Usage(String),
    /// A file could not be read.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// A catalogue file has errors.
    Catalogue {
        /// Path of the file.
        path: PathBuf,
        /// Errors and warnings with their positions.
        findings: catalogue::Findings,
    },
    /// A configuration has errors, which were printed.
    Configuration {
        /// Number of errors.
        errors: usize,
    },
    /// No node could be reached.
    Unreachable(String),
    /// A node answered with an error, or with a body that could not be decoded.
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Detail from the answer, or the decoding error.
        detail: String,
    },
    /// The command conflicts with the current state, for example with another operator's edit.
    Conflict(String),
    /// Another node must execute the command; holds its URL, if known.
    Misdirected(Option<String>),
    /// The rollout was undone; holds the reason.
    Undone(String),
    /// The node's answer was lost, or it gave no final one: the command may have taken effect.
    Indeterminate(String),
    /// The maximum wait was exceeded.
    Timeout(String),
    /// A part of the demo could not start, or a request failed or got a wrong answer.
    Demo(String),
}

impl Error {
    /// Returns the exit code for this error.
    pub const fn exit_code(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::File { .. } => Exit::Usage,
            Self::Catalogue { .. }
            | Self::Configuration { .. }
            | Self::Refused { .. }
            | Self::Demo(_)
            | Self::Undone(_) => Exit::Failed,
            Self::Unreachable(_) | Self::Misdirected(_) => Exit::Unreachable,
            Self::Conflict(_) => Exit::Conflict,
            Self::Indeterminate(_) => Exit::Indeterminate,
            Self::Timeout(_) => Exit::Timeout,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(detail) | Self::Demo(detail) | Self::Conflict(detail) => f.write_str(detail),
            Self::File { path, cause } => write!(f, "{}: {cause}", path.display()),
            Self::Catalogue { path, findings } => {
                for (index, finding) in findings.as_slice().iter().enumerate() {
                    if index > 0 {
                        writeln!(f)?;
                    }
                    write!(f, "{}:{finding}", path.display())?;
                }
                Ok(())
            }
            Self::Configuration { errors } => {
                write!(f, "errors: {errors}; correct the file before it is sent")
            }
            Self::Unreachable(detail) => {
                write!(f, "no node answered: {detail}; set --node or BILBERRYLATCH_NODE")
            }
            Self::Refused { status, detail } => write!(f, "refused ({status}): {detail}"),
            Self::Indeterminate(detail) => write!(f, "{detail}; the command can be repeated unchanged"),
            Self::Misdirected(_) => f.write_str("another node controls this endpoint's rollouts"),
            Self::Undone(detail) => write!(f, "undone: {detail}"),
            Self::Timeout(detail) => write!(f, "timed out: {detail}"),
        }
    }
}

impl std::error::Error for Error {}
