//! Retry safety and response form of a route's requests.

/// Whether a request may run more than once, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent, with a single response.
    Safe,
    /// Not idempotent, with a single response.
    Unsafe,
    /// Answered with a stream of events; idempotent only if the stream can be resumed.
    Stream {
        /// Whether another replica can continue after the last delivered event.
        resume: bool,
    },
}

impl Kind {
    /// Whether a request that may already have run can be sent again.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Safe | Self::Stream { resume: true } => true,
            Self::Unsafe | Self::Stream { resume: false } => false,
        }
    }

    /// Whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
