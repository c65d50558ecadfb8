//! Inputs of a table.

use base::Incarnation;

use super::Finish;
use crate::{Binding, Call, Fingerprint, Handover, Key};

/// One input of a [`Table`](crate::Table).
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller requests a key.
    Issue {
        /// Call that requests the key.
        call: Call,
        /// Scope of the key.
        binding: Binding,
    },
    /// A request with a key arrives, from a caller or forwarded by a peer.
    Arrive {
        /// Arriving call; each repeat is a separate call.
        call: Call,
        /// Key as sent.
        key: Key,
        /// Endpoint and workspace of the request.
        binding: Binding,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// State of the key's home node; ignored if that is this node.
        home: Home,
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
    /// The node is stopping: no key is issued and no run starts from now on.
    Drain,
    /// Other nodes may have declared this node gone, and told callers that its keys may have run.
    Fenced,
    /// A stopping peer hands over its keys.
    Import(Handover),
    /// Time passed.
    Tick,
}

/// State of a home node as seen by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// The node is reachable.
    Alive,
    /// The node is unreachable at the moment, or its state is unknown.
    Unreachable,
    /// The node has stopped and handed its keys over to this peer.
    Successor(Incarnation),
    /// The node has stopped.
    Gone,
}
