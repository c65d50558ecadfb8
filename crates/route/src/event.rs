//! What the node tells the router.

use crate::arrival::Arrival;
use crate::endpoint;
use crate::failure::Failure;
use crate::key::{CallKey, DispatchId, EndpointKey, Prefix, ReplicaKey, WorkspaceKey};
use crate::replica;
use crate::workspace;

/// One thing that happened. Endpoints, replicas and workspaces are added by methods of the router, which give keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A request came in.
    Arrive(Arrival),
    /// The first byte of a dispatch may have left.
    Sent {
        /// The dispatch.
        dispatch: DispatchId,
    },
    /// The first token or byte of the answer came.
    FirstToken {
        /// The dispatch.
        dispatch: DispatchId,
    },
    /// The dispatch has ended; its slot is free.
    Finished {
        /// The dispatch.
        dispatch: DispatchId,
        /// How it ended.
        finish: Finish,
    },
    /// The caller is gone or took its request back.
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
    /// The endpoint left the catalogue: what waits is refused, what runs ends.
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
    /// The workspace left the catalogue: what waits is refused, what runs ends.
    WorkspaceRemoved {
        /// The workspace.
        workspace: WorkspaceKey,
    },
    /// A notice or a list entry says that the replica leaves; it gets no new work from now on.
    ReplicaLeaving {
        /// The replica.
        replica: ReplicaKey,
    },
    /// The replica is gone; its dispatches still end by `Finished`.
    ReplicaGone {
        /// The replica.
        replica: ReplicaKey,
    },
    /// The replica reported its load.
    Report {
        /// The replica.
        replica: ReplicaKey,
        /// What it said.
        report: replica::Report,
    },
    /// The replica's cache took in a prefix.
    PrefixCached {
        /// The replica.
        replica: ReplicaKey,
        /// The prefix.
        prefix: Prefix,
    },
    /// The replica's cache dropped a prefix.
    PrefixEvicted {
        /// The replica.
        replica: ReplicaKey,
        /// The prefix.
        prefix: Prefix,
    },
    /// Time passed; due at `Router::wake_at`.
    Tick,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The answer is whole.
    Complete,
    /// No part of the answer reached the caller.
    Failed(Failure),
    /// The stream ended early.
    Interrupted {
        /// Tokens of this dispatch that reached the caller.
        tokens: u32,
    },
}
