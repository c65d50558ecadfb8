//! Failures of dispatches.

use base::Millis;

/// Kind of a failure as observed by the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The connection was refused, so no process listens at the address any more.
    Refused,
    /// The connection timed out, or there is no network route.
    Connect,
    /// The connection closed before the end of the response.
    Reset,
    /// The replica did not respond in time.
    Timeout,
    /// The replica rejected the request for lack of capacity and did not run it.
    Rejected,
    /// The replica responded with a server error.
    ServerError,
    /// The response carried the id of another dispatch or could not be decoded.
    Mismatch,
    /// The router cancelled the dispatch.
    Cancelled,
}

/// Failure of a dispatch without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: Kind,
    /// Whether the replica may have run the request. False only if no byte can have been sent or the replica states
    /// that it did not run the request.
    pub may_have_run: bool,
    /// Delay before a retry that the replica asked for.
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// Creates a failure without a requested retry delay.
    pub const fn new(kind: Kind, may_have_run: bool) -> Self {
        Self {
            kind,
            may_have_run,
            retry_after: None,
        }
    }

    /// Sets the retry delay that the replica asked for.
    pub const fn with_retry_after(mut self, delay: Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
