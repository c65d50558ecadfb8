//! Causes of retries.

/// Cause of a second or later dispatch. Each cause has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The replica was leaving, gone or refused the connection, before the request ran.
    ReplicaLost,
    /// The replica rejected the request for lack of capacity and did not run it.
    Rejected,
    /// The dispatch failed before the request ran.
    NotRun,
    /// The dispatch failed and the request, which is idempotent, may have run.
    Idempotent,
    /// An idempotent stream was interrupted and resumes after the delivered tokens.
    Resume,
}

impl Cause {
    /// All causes, to register the counters.
    pub const ALL: [Self; 5] = [
        Self::ReplicaLost,
        Self::Rejected,
        Self::NotRun,
        Self::Idempotent,
        Self::Resume,
    ];

    /// Returns the counter label.
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
