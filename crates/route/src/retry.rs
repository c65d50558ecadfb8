//! Why a request is sent again.

/// Cause of a second or later dispatch; one counter each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The replica was leaving, gone, or refused the connection, before the request ran.
    ReplicaLost,
    /// The replica had no room and did not run the request.
    Rejected,
    /// The dispatch failed before the request ran.
    NotRun,
    /// The dispatch failed and the request may have run; it is idempotent.
    Idempotent,
    /// An idempotent stream was cut and goes on after the tokens delivered.
    Resume,
}

impl Cause {
    /// Every cause, for counters.
    pub const ALL: [Self; 5] = [
        Self::ReplicaLost,
        Self::Rejected,
        Self::NotRun,
        Self::Idempotent,
        Self::Resume,
    ];

    /// The counter's label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ReplicaLost => "replica-lost",
            Self::Rejected => "rejected",
            Self::NotRun => "not-run",
            Self::Idempotent => "idempotent",
            Self::Resume => "resume",
        }
    }
}
