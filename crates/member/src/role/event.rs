//! What happens to a role, and what it asks of its caller.

use base::Millis;

use super::record::{Fence, Lease, Observed, Record, Revision, WriteId};

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passes.
    Tick,
    /// The node's place among the candidates, best first; `None` if it is no candidate.
    Rank(Option<usize>),
    /// The node's lease was granted or renewed; `until` is reckoned from when the request was sent.
    Leased {
        /// The lease.
        lease: Lease,
        /// Its end on the own clock.
        until: Millis,
    },
    /// The node's lease has lapsed.
    LeaseExpired,
    /// The record was read, or a watch told of it; `None` if there is none yet.
    Read(Option<Observed>),
    /// The read failed or was not answered in time.
    ReadFailed,
    /// The swap took effect.
    Swapped(WriteId),
    /// The swap was refused: the record had changed.
    Conflict(WriteId),
    /// The swap was not answered: it may have taken effect.
    Unanswered(WriteId),
    /// Give the role up for good: the node is leaving, or the role isn't needed.
    Release,
}

/// Something to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the record and whether its lease lives.
    Read,
    /// Write the record if its revision is still `expect`, or create it if `expect` is `None`.
    Swap {
        /// The revision that was read.
        expect: Option<Revision>,
        /// The new record.
        record: Record,
    },
    /// The role is held with this fencing number; orders may leave from the given time on.
    Acquired {
        /// The fencing number.
        fence: Fence,
        /// When the first order may leave.
        from: Millis,
    },
    /// The role is no longer held.
    Ended(Fence),
}
