//! A dispatch that has not ended.

use base::Millis;

use crate::key::{CallKey, EndpointKey, Prefix, ReplicaKey, WorkspaceKey};

/// A dispatch that has not ended. It holds a slot of its replica and of its workspace's share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The request; `None` if its caller cancelled it.
    pub call: Option<CallKey>,
    pub endpoint: EndpointKey,
    pub workspace: WorkspaceKey,
    pub replica: ReplicaKey,
    pub prefix: Option<Prefix>,
    pub started_at: Millis,
    /// When the first token or byte arrived.
    pub first_token_at: Option<Millis>,
    /// Whether a byte may have been sent.
    pub sent: bool,
    /// Whether the node was told to abort the dispatch.
    pub cancelled: bool,
}
