//! How a dispatch failed.

use base::Millis;

/// What went wrong, as the node saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The connection was refused: nothing listens there any more.
    Refused,
    /// No connection in time, or no route.
    Connect,
    /// The connection ended before the answer did.
    Reset,
    /// The replica did not answer in time.
    Timeout,
    /// The replica said that it did not run the request because it has no room.
    Rejected,
    /// The replica answered with a server error.
    ServerError,
    /// The answer bore another dispatch's id, or could not be read.
    Mismatch,
    /// The node gave the dispatch up because the router cancelled it.
    Cancelled,
}

/// A dispatch that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What went wrong.
    pub kind: Kind,
    /// Whether the replica may have run it; false only if no byte may have left or the replica says it did not.
    pub may_have_run: bool,
    /// The replica's own wish, if it gave one.
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// A failure of this kind without the replica's wish.
    pub const fn new(kind: Kind, may_have_run: bool) -> Self {
        Self {
            kind,
            may_have_run,
            retry_after: None,
        }
    }

    /// Adds the replica's wish.
    pub const fn with_retry_after(mut self, delay: Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
