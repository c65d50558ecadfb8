//! Why no replica was chosen.

use base::Millis;

/// Why a request is not sent to any replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No replica of the endpoint takes requests.
    NoReplica,
    /// Each replica that takes requests was tried.
    AllTried,
    /// All replicas are full; there may be room after this time.
    Full(Millis),
    /// The answer would come too late; the queue is shorter after this time.
    TooLate(Millis),
}

impl Refusal {
    /// Label in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::AllTried => "all_tried",
            Self::Full(_) => "full",
            Self::TooLate(_) => "too_late",
        }
    }

    /// When the caller should come back.
    pub const fn retry_after(self) -> Millis {
        /// Time for a crashed replica's successor or a heartbeat to appear.
        const NO_REPLICA: Millis = Millis(1_000);
        /// Time for one of the tried replicas to work again.
        const ALL_TRIED: Millis = Millis(300);
        match self {
            Self::NoReplica => NO_REPLICA,
            Self::AllTried => ALL_TRIED,
            Self::Full(wait) | Self::TooLate(wait) => wait,
        }
    }
}
