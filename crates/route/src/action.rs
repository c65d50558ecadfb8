//! Actions that the router requests from the node.

use crate::key::{CallKey, DispatchId, ReplicaKey};
use crate::refusal::Refusal;
use crate::retry::Cause;

/// An action for the node to execute.
///
/// Each arrival ends with exactly one `Complete` or `Refuse`, unless its caller cancels it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a replica. The node must report `Event::Finished` for it exactly once.
    Dispatch(Dispatch),
    /// Abort a dispatch. The node must report `Event::Finished` at once, without waiting for the replica.
    Cancel {
        /// The dispatch to abort.
        dispatch: DispatchId,
    },
    /// The request has ended with a complete response.
    Complete {
        /// The request.
        call: CallKey,
        /// The dispatch that produced the response.
        dispatch: DispatchId,
    },
    /// The request has ended without a response; refuse it to the caller now.
    Refuse {
        /// The request.
        call: CallKey,
        /// Reason, outcome and retry hint for the caller.
        refusal: Refusal,
    },
}

/// Sends a request to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub call: CallKey,
    /// Id of this dispatch.
    pub id: DispatchId,
    /// The replica to send it to.
    pub replica: ReplicaKey,
    /// Number of this dispatch of the request, starting at one.
    pub attempt: u8,
    /// Tokens already delivered to the caller; the replica continues after them.
    pub delivered: u32,
    /// Why the request is retried; `None` for its first dispatch.
    pub cause: Option<Cause>,
}
