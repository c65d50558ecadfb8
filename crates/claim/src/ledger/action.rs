//! What a ledger asks of its node.

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
    /// NB: the client must not repeat the write on its own; a write without an answer is
    /// [`WriteDone::Indeterminate`](super::WriteDone::Indeterminate).
    Write {
        /// The shard to write to.
        shard: Shard,
        /// The sequence number to write to.
        sequence: u64,
        /// The batch.
        bytes: Bytes,
    },
    /// Read `claims/{shard}/{sequence}`, never from a cache.
    Read {
        /// The shard to read.
        shard: Shard,
        /// The sequence number to read.
        sequence: u64,
    },
    /// Read `claims/{shard}/base` with its version, never from a cache.
    ReadBase {
        /// The shard whose base is read.
        shard: Shard,
    },
    /// Swap `claims/{shard}/base`, if it is still as `expect` says.
    SwapBase {
        /// The shard whose base is swapped.
        shard: Shard,
        /// The version to replace, or nothing if there must be none.
        expect: Option<Version>,
        /// The new base.
        bytes: Bytes,
    },
    /// Delete `claims/{shard}/{sequence}`, which nobody reads any longer. A delete that fails costs only space.
    Delete {
        /// The shard to delete from.
        shard: Shard,
        /// The sequence number to delete.
        sequence: u64,
    },
    /// The key is claimed for this call: run the request. Ask with `Dispatch` before the first byte may leave, and
    /// report the end with `Finish`.
    Granted {
        /// The call whose request runs.
        call: Call,
        /// Its key.
        key: Key,
    },
    /// The key is running here; an [`Action::Answer`] follows when the run ends.
    Join {
        /// The call that waits.
        call: Call,
    },
    /// Another node claimed the key and no result is recorded. Forward the call there if that node is alive; if not,
    /// answer [`Reason::HeldElsewhere`](crate::Reason::HeldElsewhere) while it is unreachable and
    /// [`Reason::Interrupted`](crate::Reason::Interrupted) once it is gone.
    ClaimedElsewhere {
        /// The call that repeats the key.
        call: Call,
        /// The node that claimed it.
        owner: Incarnation,
    },
    /// The run may send, now and once.
    Dispatch {
        /// The call whose request is sent.
        call: Call,
    },
    /// The run must not send. It needs no `Finish`.
    Halt {
        /// The call whose request must not be sent.
        call: Call,
    },
    /// Answer the call.
    Answer {
        /// The call to answer.
        call: Call,
        /// What it is told.
        answer: Answer,
    },
}
