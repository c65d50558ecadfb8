//! What the node has to do.

use crate::key::{CallKey, DispatchId, ReplicaKey};
use crate::refusal::Refusal;
use crate::retry::Cause;

/// One order to the node. Each arrival ends in exactly one `Answered` or `Refuse`, unless its caller went first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the replica; the node reports `Event::Finished` for it exactly once.
    Dispatch(Dispatch),
    /// Give the dispatch up and report `Event::Finished` at once, without waiting for the replica.
    Cancel {
        /// The dispatch to give up.
        dispatch: DispatchId,
    },
    /// The answer is whole; the request has ended.
    Complete {
        /// The request.
        call: CallKey,
        /// The dispatch that brought the answer.
        dispatch: DispatchId,
    },
    /// The request has ended without an answer; tell the caller now.
    Refuse {
        /// The request.
        call: CallKey,
        /// What to tell.
        refusal: Refusal,
    },
}

/// An order to send a request to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub call: CallKey,
    /// Id of this sending.
    pub id: DispatchId,
    /// Where to send it.
    pub replica: ReplicaKey,
    /// Number of this sending, from one.
    pub attempt: u8,
    /// Tokens that the caller already holds; the replica goes on after them.
    pub delivered: u32,
    /// Why it is sent again; none the first time.
    pub cause: Option<Cause>,
}
