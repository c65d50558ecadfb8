//! Events and actions of [`Role`](crate::Role).

use base::Millis;

use super::record::{Fence, Lease, Observed, Record, Revision, WriteId};

/// An input to the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Periodic tick.
    Tick,
    /// The node's rank among the candidates, 0 being the best; `None` if it is not a candidate.
    Rank(Option<usize>),
    /// The node's lease was granted or renewed.
    Leased {
        /// The lease.
        lease: Lease,
        /// Expiry on the local clock, counted from when the request was sent.
        until: Millis,
    },
    /// The node's lease has expired.
    LeaseExpired,
    /// The record was read or reported by a watch; `None` if it does not exist yet.
    Read(Option<Observed>),
    /// The read failed or timed out.
    ReadFailed,
    /// The swap took effect.
    Swapped(WriteId),
    /// The swap was rejected because the record had changed.
    Conflict(WriteId),
    /// The swap was not answered and may have taken effect.
    Unanswered(WriteId),
    /// Release the role permanently, because the node is leaving or the role is no longer needed.
    Release,
}

/// An action for the caller to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the record and check whether its lease is alive.
    Read,
    /// Write the record if its revision is still `expect`, or create it if `expect` is `None`.
    Swap {
        /// The expected revision.
        expect: Option<Revision>,
        /// The new record.
        record: Record,
    },
    /// The role was acquired.
    Acquired {
        /// The fencing token.
        fence: Fence,
        /// When the first order may be sent.
        from: Millis,
    },
    /// The role that was held with this fencing token is no longer held.
    Ended(Fence),
}
