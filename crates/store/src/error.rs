//! What can go wrong with a call to the service.

use std::fmt;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The service can't be reached or answers that it is down; nothing was changed.
    Unavailable(String),
    /// A write's answer was lost and reading back did not settle it: it may have taken effect.
    Indeterminate(String),
    /// The condition did not hold; the revision that stands there, if any.
    Conflict(Option<u64>),
    /// The value is larger than the service takes; its size in bytes.
    TooLarge(usize),
    /// The lease has lapsed.
    LeaseExpired,
    /// The watch's history is gone: list anew.
    HistoryGone,
    /// This process has used up its budget of calls.
    BudgetExceeded,
    /// The service answered something that its protocol does not allow.
    Protocol(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(cause) => write!(f, "key-value service unavailable: {cause}"),
            Self::Indeterminate(cause) => {
                write!(f, "the write may have taken effect, its answer was lost: {cause}")
            }
            Self::Conflict(Some(revision)) => write!(f, "another write came first (revision {revision})"),
            Self::Conflict(None) => f.write_str("the record is gone"),
            Self::TooLarge(size) => write!(
                f,
                "value of {size} bytes is over the service's limit of 1 MiB; split it"
            ),
            Self::LeaseExpired => f.write_str("the lease has lapsed"),
            Self::HistoryGone => f.write_str("the watch missed changes; list anew"),
            Self::BudgetExceeded => {
                f.write_str("this process has used up its budget of key-value calls; wait a second")
            }
            Self::Protocol(cause) => write!(f, "unexpected answer of the key-value service: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
