//! What the rules are judged on.

use std::sync::Arc;

use crate::{Name, Time};

/// Id of a request.
pub type Id = Arc<str>;

/// How a node knows that a replica leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// The store says that it drains, or has its registration no more.
    Store,
    /// The replica said so in an answer to this node.
    Answer,
}

/// A request that was sent to a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Id of the request.
    pub request: Id,
    /// The node that sent it.
    pub node: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// The replica.
    pub replica: Name,
    /// Whether the request had been sent to a replica before.
    pub is_repeat: bool,
    /// Whether the replica answered that it is not the one that the request is for.
    pub is_misdirected: bool,
}

/// An admitted request, at the time at which the node received it.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Id of the request.
    pub request: Id,
    /// The node.
    pub node: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// The workspace, if the route requires one.
    pub workspace: Option<Name>,
    /// Tokens charged to the workspace; `None` if the logs do not say.
    pub tokens: Option<u64>,
    /// Whether a replica may have run it.
    pub may_have_run: bool,
}

/// The end of an admitted request.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Id of the request.
    pub request: Id,
    /// The node.
    pub node: Name,
    /// The route.
    pub route: Name,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its arrival, in milliseconds.
    pub took_ms: i64,
    /// Time left until its deadline, in milliseconds.
    pub left_ms: i64,
    /// Number of replicas that it was sent to and that did not say that they had not run it.
    pub runs: u64,
    /// Number of replicas that it was sent to.
    pub attempts: u64,
    /// Age of the view when the last replica was chosen; `None` if no answer of the store had confirmed it.
    pub view_age_ms: Option<f64>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The stream of its answer ended before its last event.
    StreamBroken,
    /// Any other end.
    Other,
}

/// An event of the logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A node started; `last` is the time of its last line before that.
    Started { node: Name, last: Option<Time> },
    /// A node ends, with this number of requests in flight.
    Ending { node: Name, waiting: u64 },
    /// A node wrote its first line.
    Appeared { node: Name },
    /// A node has put a configuration into force.
    Configured { node: Name, version: u64 },
    /// A request was handled by a configuration; the event has the time at which the request arrived.
    Handled { request: Id, node: Name, version: u64 },
    /// A replica is ready at a node.
    Ready {
        node: Name,
        replica: Name,
        version: Option<Name>,
    },
    /// A replica leaves, as a node knows.
    Leaving {
        node: Name,
        replica: Name,
        knowledge: Knowledge,
    },
    /// A replica wants no requests of a node for this time.
    Paused {
        node: Name,
        replica: Name,
        asked_ms: i64,
    },
    /// A replica named a limit, or none any more.
    Limited { replica: Name, per_s: Option<f64> },
    /// A request was admitted.
    Arrived(Arrival),
    /// A request was sent to a replica.
    Sent(Dispatch),
    /// A request ended.
    Ended(End),
    /// A request has no end in the logs of its node; the event has the time of the node's last line.
    Unfinished { request: Id, node: Name, open_ms: i64 },
    /// A rollout was ordered.
    Ordered {
        endpoint: Name,
        target: Name,
        within_ms: i64,
    },
    /// A rollout was undone, or its version vetoed.
    Undone { endpoint: Name },
}
