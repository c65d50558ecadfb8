//! Inputs of a ledger.

use bytes::Bytes;

use super::{Finish, Key, Shard};
use crate::{Call, Fingerprint};

/// One input of a [`Ledger`](crate::Ledger).
#[derive(Clone, Debug)]
pub enum Event {
    /// A request with a chosen key arrives, from a caller or forwarded by a peer.
    Arrive {
        /// Arriving call; each repeat is a separate call.
        call: Call,
        /// Chosen key.
        key: Key,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A run requests permission to send. It must be granted before any byte is sent to the endpoint.
    Dispatch {
        /// Call that runs the request.
        call: Call,
        /// Its key.
        key: Key,
    },
    /// A run ended.
    Finish {
        /// Call that runs the request.
        call: Call,
        /// Its key.
        key: Key,
        /// Result of the run.
        result: Finish,
    },
    /// A caller disconnected. Its run continues, since repeats may need the result.
    Disconnect {
        /// Call that no longer waits.
        call: Call,
        /// Its key.
        key: Key,
    },
    /// A write completed. Every [`Action::Write`](super::Action::Write) is followed by exactly one of these.
    WriteDone {
        /// Shard written to.
        shard: Shard,
        /// Sequence number written to.
        sequence: u64,
        /// Result of the write.
        result: WriteDone,
    },
    /// A read completed. Every [`Action::Read`](super::Action::Read) is followed by exactly one of these.
    ReadDone {
        /// Shard read.
        shard: Shard,
        /// Sequence number read.
        sequence: u64,
        /// Result of the read.
        result: ReadDone,
    },
    /// A read of the base completed. Every [`Action::ReadBase`](super::Action::ReadBase) is followed by exactly one of
    /// these.
    BaseDone {
        /// Shard whose base was read.
        shard: Shard,
        /// Result of the read.
        result: BaseDone,
    },
    /// A swap of the base completed. Every [`Action::SwapBase`](super::Action::SwapBase) is followed by exactly one of
    /// these, whether or not it succeeded; the ledger reads the base afterwards.
    SwapDone {
        /// Shard whose base was to be replaced.
        shard: Shard,
    },
    /// The node is stopping: nothing is claimed from now on; results are still written.
    Drain,
    /// Time passed. Must be sent every few milliseconds while calls wait.
    Tick,
}

/// Result of a create-if-absent write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDone {
    /// The value was absent and was created.
    Created,
    /// A value already existed.
    Exists,
    /// No answer arrived in time: the write may have taken effect, or may still take effect.
    Indeterminate,
    /// The service was unreachable or refused the write. The write is treated as indeterminate, since it may still have
    /// taken effect.
    Unavailable,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadDone {
    /// The value exists.
    Found(Bytes),
    /// The value does not exist.
    Absent,
    /// No answer arrived in time, or the service was unreachable or refused the read.
    Unavailable,
}

/// Result of a read of the base.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BaseDone {
    /// The base exists.
    Found {
        /// Encoded base.
        bytes: Bytes,
        /// Version to pass to a swap.
        version: Version,
    },
    /// The value does not exist.
    Absent,
    /// No answer arrived in time, or the service was unreachable or refused the read.
    Unavailable,
}

/// Version of a value in the key-value service, such as an entity tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version(pub Bytes);
