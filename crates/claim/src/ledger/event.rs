//! What happens to a ledger.

use bytes::Bytes;

use super::{Finish, Key, Shard};
use crate::{Call, Fingerprint};

/// One input of a [`Ledger`](crate::Ledger).
#[derive(Clone, Debug)]
pub enum Event {
    /// A request with a chosen key arrives, from a caller or forwarded by a peer.
    Arrive {
        /// The arriving call; each repeat is a call of its own.
        call: Call,
        /// The chosen key.
        key: Key,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
    },
    /// The run asks to send. Must be asked, and granted, before the first byte may leave.
    Dispatch {
        /// The call that was told to run.
        call: Call,
        /// Its key.
        key: Key,
    },
    /// The run ended.
    Finish {
        /// The call that was told to run.
        call: Call,
        /// Its key.
        key: Key,
        /// How it ended.
        result: Finish,
    },
    /// A caller went away. A run goes on, since repeats may want its result.
    Disconnect {
        /// The call that waits no longer.
        call: Call,
        /// Its key.
        key: Key,
    },
    /// A write ended. Every [`Action::Write`](super::Action::Write) is followed by exactly one of these.
    WriteDone {
        /// The shard written to.
        shard: Shard,
        /// The sequence number written to.
        sequence: u64,
        /// How it ended.
        result: WriteDone,
    },
    /// A read ended. Every [`Action::Read`](super::Action::Read) is followed by exactly one of these.
    ReadDone {
        /// The shard read.
        shard: Shard,
        /// The sequence number read.
        sequence: u64,
        /// What was found.
        result: ReadDone,
    },
    /// A read of the base ended. Every [`Action::ReadBase`](super::Action::ReadBase) is followed by exactly one of
    /// these.
    BaseDone {
        /// The shard whose base was read.
        shard: Shard,
        /// What was found.
        result: BaseDone,
    },
    /// A swap of the base ended. Every [`Action::SwapBase`](super::Action::SwapBase) is followed by exactly one of
    /// these, whatever came of it; the base is read afterwards.
    SwapDone {
        /// The shard whose base was to be swapped.
        shard: Shard,
    },
    /// The node stops: nothing is claimed from here on; results are still written.
    Drain,
    /// Time passed. To be sent every few milliseconds while calls wait.
    Tick,
}

/// How a create-if-absent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDone {
    /// The value was absent and is now as written.
    Created,
    /// There was a value before.
    Exists,
    /// No answer in time: the write may have taken effect, or may still.
    Indeterminate,
    /// The service could not be reached or refused. Taken as [`WriteDone::Indeterminate`] for what may have happened.
    Unavailable,
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadDone {
    /// The value.
    Found(Bytes),
    /// There is no value.
    Absent,
    /// No answer in time, or the service could not be reached or refused.
    Unavailable,
}

/// How a read of the base ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BaseDone {
    /// The value and its version.
    Found {
        /// The value.
        bytes: Bytes,
        /// The version that a swap has to name.
        version: Version,
    },
    /// There is no value.
    Absent,
    /// No answer in time, or the service could not be reached or refused.
    Unavailable,
}

/// The key-value service's name for one state of a value, such as its entity tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version(pub Bytes);
