//! Why a command failed.

use std::fmt;
use std::path::PathBuf;

use crate::Exit;

/// A failure, with what to change.
#[derive(Debug)]
pub enum Error {
    /// A flag or variable is missing or wrong.
    Usage(String),
    /// A file could not be read.
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The catalogue has errors.
    Catalogue {
        /// The file.
        path: PathBuf,
        /// What is wrong, with places.
        findings: catalogue::Findings,
    },
    /// No node answered.
    Unreachable(String),
    /// A node refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        detail: String,
    },
    /// Another edit came first.
    Conflict(String),
    /// Another node must take the command; its URL, if it is known.
    Misdirected(Option<String>),
    /// The rollout was taken back.
    Undone(String),
    /// The edit may have been accepted.
    Indeterminate(String),
    /// The time to wait ran out.
    Timeout(String),
    /// A part of the demo could not start or some answer was wrong.
    Demo(String),
}

impl Error {
    /// The exit code that tells this failure apart.
    pub const fn exit_code(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::File { .. } => Exit::Usage,
            Self::Catalogue { .. } | Self::Refused { .. } | Self::Demo(_) | Self::Undone(_) => Exit::Failed,
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
            Self::Unreachable(detail) => {
                write!(f, "no node answered: {detail}; set --node or BILBERRYLATCH_NODE")
            }
            Self::Refused { status, detail } => write!(f, "refused ({status}): {detail}"),
            Self::Indeterminate(detail) => write!(f, "{detail}; the command may be repeated as it was"),
            Self::Misdirected(_) => f.write_str("another node controls this endpoint's rollouts"),
            Self::Undone(detail) => write!(f, "undone: {detail}"),
            Self::Timeout(detail) => write!(f, "time ran out: {detail}"),
        }
    }
}

impl std::error::Error for Error {}
