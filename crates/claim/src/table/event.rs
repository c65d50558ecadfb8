//! What happens to a table.

use base::Incarnation;

use super::Finish;
use crate::{Binding, Call, Fingerprint, Handover, Key};

/// One input of a [`Table`](crate::Table).
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks for a key.
    Issue {
        /// The asking call.
        call: Call,
        /// What the key is for.
        binding: Binding,
    },
    /// A request with a key arrives, from a caller or forwarded by a peer.
    Arrive {
        /// The arriving call; each repeat is a call of its own.
        call: Call,
        /// The key as sent.
        key: Key,
        /// What the request is for.
        binding: Binding,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// What this node knows about the key's home; not looked at if that is this node.
        home: Home,
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
    /// The node stops: no key is issued and no new run starts from here on.
    Drain,
    /// A peer that stopped hands its keys over.
    Import(Handover),
    /// Time passed.
    Tick,
}

/// What a node knows about another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// It answers.
    Alive,
    /// It does not answer at the moment, or nothing is known.
    Unreachable,
    /// It ended, and left its keys with this peer.
    Successor(Incarnation),
    /// It ended.
    Gone,
}
