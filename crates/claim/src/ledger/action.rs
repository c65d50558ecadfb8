//! Outputs of a ledger.

use base::Incarnation;
use bytes::Bytes;

use super::{Key, Shard, Version};
use crate::{Answer, Call};

/// Outputs of one step, in order.
pub type Actions = Vec<Action>;

/// One output of a [`Ledger`](crate::Ledger).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create `claims/{shard}/{sequence}` if it is absent.
    ///
    /// The client must not retry the write by itself. A write without an answer must be reported as
    /// [`WriteDone::Indeterminate`](super::WriteDone::Indeterminate).
    Write {
        /// Shard to write to.
        shard: Shard,
        /// Sequence number to write to.
        sequence: u64,
        /// Encoded batch.
        bytes: Bytes,
    },
    /// Read `claims/{shard}/{sequence}`, bypassing caches.
    Read {
        /// Shard to read.
        shard: Shard,
        /// Sequence number to read.
        sequence: u64,
    },
    /// Read `claims/{shard}/base` with its version, bypassing caches.
    ReadBase {
        /// Shard whose base is read.
        shard: Shard,
    },
    /// Replace `claims/{shard}/base` if its version is still `expect` (compare-and-swap).
    SwapBase {
        /// Shard whose base is replaced.
        shard: Shard,
        /// Version to replace, or `None` if the value must be absent.
        expect: Option<Version>,
        /// Encoded new base.
        bytes: Bytes,
    },
    /// Delete `claims/{shard}/{sequence}`, which no node reads anymore. A failed delete only wastes space.
    Delete {
        /// Shard to delete from.
        shard: Shard,
        /// Sequence number to delete.
        sequence: u64,
    },
    /// The key is claimed for this call: run the request. Request permission with `Event::Dispatch` before sending any
    /// byte to the endpoint, and report the result with `Event::Finish`.
    Run {
        /// Call whose request runs.
        call: Call,
        /// Its key.
        key: Key,
    },
    /// The key is running here; an [`Action::Answer`] follows when the run ends.
    Join {
        /// Waiting call.
        call: Call,
    },
    /// Another node holds the claim and has recorded no result. If that node is reachable, forward the call to it.
    /// Otherwise answer [`Reason::HeldElsewhere`](crate::Reason::HeldElsewhere) while it is unreachable and
    /// [`Reason::Interrupted`](crate::Reason::Interrupted) once it is gone.
    ClaimedElsewhere {
        /// Call that repeats the key.
        call: Call,
        /// Node that holds the claim.
        owner: Incarnation,
    },
    /// Permits the run to send its request once, now.
    DispatchGranted {
        /// Call whose request is sent.
        call: Call,
    },
    /// Denies dispatch. No `Event::Finish` is needed.
    DispatchDenied {
        /// Call whose request must not be sent.
        call: Call,
    },
    /// Answer the call.
    Answer {
        /// Call to answer.
        call: Call,
        /// Its answer.
        answer: Answer,
    },
}
