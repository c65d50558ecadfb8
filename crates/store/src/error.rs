//! Errors of calls to the key-value service.

use std::fmt;

use base::Revision;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The service is unreachable or reports that it is unavailable; nothing was changed.
    Unavailable(String),
    /// The response to a write was lost and its outcome could not be determined: it may have taken effect.
    Indeterminate(String),
    /// The condition of the write did not hold; holds the current revision, if there is a record.
    Conflict(Option<Revision>),
    /// The value exceeds the service's limit; holds its size in bytes.
    TooLarge(usize),
    /// The lease has expired.
    LeaseExpired,
    /// The service no longer has the history that the watch needs; list the records again.
    HistoryGone,
    /// This process has used up its call budget.
    BudgetExceeded,
    /// The service's response violates its protocol.
    Protocol(String),
    /// The call can't be expressed, so nothing was sent. Repeating it does not help.
    Invalid(String),
}

impl Error {
    /// Whether the service may be away, so that the call can succeed later.
    pub const fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Indeterminate(_))
    }

    /// Short name of the error, for metrics.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Unavailable(_) => "unavailable",
            Self::Indeterminate(_) => "indeterminate",
            Self::Conflict(_) => "conflict",
            Self::TooLarge(_) => "too_large",
            Self::LeaseExpired => "lease_expired",
            Self::HistoryGone => "history_gone",
            Self::BudgetExceeded => "budget_exceeded",
            Self::Protocol(_) => "protocol",
            Self::Invalid(_) => "invalid",
        }
    }
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
            Self::HistoryGone => {
                f.write_str("the watch history is no longer available; list the records again")
            }
            Self::BudgetExceeded => {
                f.write_str("this process has used up its budget of key-value calls; wait a second")
            }
            Self::Protocol(cause) => write!(f, "unexpected answer of the key-value service: {cause}"),
            Self::Invalid(cause) => write!(f, "the call to the key-value service is not valid: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
