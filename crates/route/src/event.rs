//! Events that the node passes to the router.

use crate::arrival::Arrival;
use crate::endpoint;
use crate::failure::Failure;
use crate::key::{CallKey, DispatchId, EndpointKey, Prefix, ReplicaKey, WorkspaceKey};
use crate::replica;
use crate::workspace;

/// An event for the router.
///
/// Endpoints, replicas and workspaces are added with methods of the router, which return their keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A new request arrived.
    Arrive(Arrival),
    /// The first byte of a dispatch may have been sent.
    Sent {
        /// The dispatch.
        dispatch: DispatchId,
    },
    /// The first token or byte of the response arrived.
    FirstToken {
        /// The dispatch.
        dispatch: DispatchId,
    },
    /// The dispatch has ended and its slot is free.
    Finished {
        /// The dispatch.
        dispatch: DispatchId,
        /// How it ended.
        finish: Finish,
    },
    /// The caller disconnected or cancelled its request.
    Cancelled {
        /// The request.
        call: CallKey,
    },
    /// The endpoint's settings changed.
    EndpointChanged {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The new settings.
        settings: endpoint::Settings,
    },
    /// The endpoint was removed from the catalogue. Waiting requests are refused, running ones continue.
    EndpointRemoved {
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// The workspace's weight or this node's share of its limit changed.
    WorkspaceChanged {
        /// The workspace.
        workspace: WorkspaceKey,
        /// The new settings.
        settings: workspace::Settings,
    },
    /// The workspace was removed from the catalogue. Waiting requests are refused, running ones continue.
    WorkspaceRemoved {
        /// The workspace.
        workspace: WorkspaceKey,
    },
    /// The replica is leaving, according to a notice or a list entry. It gets no further requests.
    ReplicaLeaving {
        /// The replica.
        replica: ReplicaKey,
    },
    /// The replica is gone. Its dispatches still end with `Finished`.
    ReplicaGone {
        /// The replica.
        replica: ReplicaKey,
    },
    /// The replica reported its load.
    Report {
        /// The replica.
        replica: ReplicaKey,
        /// The reported load.
        report: replica::Report,
    },
    /// The replica cached a prefix.
    PrefixCached {
        /// The replica.
        replica: ReplicaKey,
        /// The prefix.
        prefix: Prefix,
    },
    /// The replica evicted a prefix from its cache.
    PrefixEvicted {
        /// The replica.
        replica: ReplicaKey,
        /// The prefix.
        prefix: Prefix,
    },
    /// Time passed. The node must send this at `Router::wake_at` at the latest.
    Tick,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The response is complete.
    Complete,
    /// The dispatch failed before any part of the response reached the caller.
    Failed(Failure),
    /// The stream was interrupted.
    Interrupted {
        /// Tokens of this dispatch that were delivered to the caller.
        tokens: u32,
    },
}
