//! One dispatch that has not ended.

use base::Millis;

use crate::ReplicaKey;

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// The replica failed it: an error of its own, a broken or garbled answer, silence.
    Failed,
    /// There was no connection to the replica.
    Unreachable,
    /// The replica said that it did not run it.
    NotRun,
    /// The caller left, or the time was up.
    Cancelled,
}

/// A dispatch in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub replica: ReplicaKey,
    pub sent_at: Millis,
    /// Tokens that the replica has to read before the first event.
    pub prefill_tokens: u32,
    /// Time to the answer, or its first event, that was expected when it was sent.
    pub expected_wait: Millis,
    pub answer_began: bool,
}
