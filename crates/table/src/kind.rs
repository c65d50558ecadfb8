//! What a route says of its requests.

/// How often one request may run, and in which form its answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent, answered as a whole.
    Safe,
    /// Not idempotent, answered as a whole.
    Unsafe,
    /// Answered by a stream of events; idempotent only if it may be resumed.
    Stream {
        /// Whether another replica may go on after the last event that was delivered.
        resume: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent again.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Safe | Self::Stream { resume: true } => true,
            Self::Unsafe | Self::Stream { resume: false } => false,
        }
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
